package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliaknot/magnoliaknot/platform/standin"
)

// Ports of a VM. Each VM has a loopback address of its own.
const (
	portPeers    = 8300
	portBackend  = 8301
	portReady    = 8302
	portCallers  = 8304
	portControl  = 8306
	portInternal = 7620
	portStore    = 8309
	portsOfVM    = 15
)

const (
	zones        = 2
	restartDelay = 2 * time.Second
	readyTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
	// settleTime is longer than ContactS, so that every VM is in touch when a case begins.
	settleTime = 4 * time.Second
)

// fleet is a store and VMs, each with a daemon and a backend server.
type fleet struct {
	record    *record
	daemon    string
	directory string
	prefix    string
	store     *standin.Store
	slots     int
	listener  net.Listener
	vms       []*vm

	mu     sync.Mutex
	closed bool
}

// vm is a machine with a daemon and a backend server.
type vm struct {
	fleet   *fleet
	number  int
	service string
	ip      string

	mu      sync.Mutex
	daemon  *exec.Cmd
	backend *exec.Cmd
	// daemonEnded is closed when the daemon has ended.
	daemonEnded chan struct{}
	starts      int
	waiting     sync.WaitGroup
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// startFleet starts a fleet and waits until every daemon is ready and every backend server
// is warm.
func startFleet(daemon string, s scenario, r *record) (*fleet, error) {
	directory, err := os.MkdirTemp("", "harness3")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, daemon: daemon, directory: directory, store: standin.NewStore(), slots: s.slots}
	if err := f.start(s.services); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(services []string) error {
	if err := f.listen(); err != nil {
		return err
	}
	go func() { _ = f.store.Serve(f.listener) }() // Until the listener is closed.
	for i, service := range services {
		v := &vm{fleet: f, number: i, service: service, ip: fmt.Sprintf("%s.%d", f.prefix, i+2)}
		f.vms = append(f.vms, v)
		if err := v.writeSettings(); err != nil {
			return err
		}
		if err := v.startDaemon(); err != nil {
			return err
		}
		v.startBackend()
	}
	return nil
}

// listen finds a loopback network whose first address is free and opens the store there.
func (f *fleet) listen() error {
	var err error
	for i := range 200 {
		f.prefix = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%180, (os.Getpid()/180+i)%250)
		f.listener, err = net.Listen("tcp4", fmt.Sprintf("%s.1:%d", f.prefix, portStore))
		if err == nil {
			return nil
		}
	}
	return err
}

// configure publishes a configuration and waits until all daemons are ready and have been in
// contact for settleTime.
func (f *fleet) configure(document []byte) error {
	f.store.Put("config", document)
	for _, v := range f.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

func (v *vm) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		response, err := client.Get("http://" + v.address(portReady) + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("daemon of vm %d is not ready", v.number)
}

func (v *vm) settingsPath() string {
	return filepath.Join(v.fleet.directory, fmt.Sprintf("vm-%d.json", v.number))
}

// writeSettings writes what the deploy file's template makes of the settings of a small
// deployment.
func (v *vm) writeSettings() error {
	data, err := json.Marshal(map[string]any{
		"node": fmt.Sprintf("sidecar-%d", v.number), "service": v.service,
		"failure_domain": fmt.Sprintf("zone-%d", v.number%zones), "region": "region",
		"addresses": map[string]any{
			"ip": v.ip, "callers": v.address(portCallers), "peers": v.address(portPeers), "ready": v.address(portReady),
			"control": v.address(portControl), "backend": v.address(portBackend),
			"internal_ports": []int{portInternal, portInternal + portsOfVM},
		},
		"store":        map[string]any{"address": v.fleet.listener.Addr().String()},
		"retry_budget": map[string]any{"ratio": 0.2, "extra": 58, "window_seconds": 10},
		"rollout":      map[string]any{"rollback_seconds": 5},
		"memory_mb":    284, "descriptors": 4100, "grace_seconds": 6,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(v.settingsPath(), data, 0o600)
}

func (v *vm) startDaemon() error {
	log, err := os.OpenFile(filepath.Join(v.fleet.directory, fmt.Sprintf("daemon-%d.log", v.number)), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(v.fleet.daemon, "platform")
	cmd.Env = append(os.Environ(), "MAGNOLIAKNOT_NODE_FILE="+v.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.mu.Lock()
	v.daemon, v.daemonEnded = cmd, ended
	v.mu.Unlock()
	v.waiting.Add(1)
	go func() {
		defer v.waiting.Done()
		err := cmd.Wait()
		close(ended)
		v.fleet.record.note("daemon of vm %d ended: %v", v.number, err)
	}()
	return nil
}

// signalDaemon sends a signal to the daemon.
func (v *vm) signalDaemon(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.record.note("signal %v to the daemon of vm %d", s, v.number)
	_ = v.daemon.Process.Signal(s) // It may have ended.
}

func (f *fleet) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// close ends all processes.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, v := range f.vms {
		v.mu.Lock()
		for _, cmd := range []*exec.Cmd{v.daemon, v.backend} {
			if cmd != nil {
				err := errors.Join(cmd.Process.Signal(syscall.SIGCONT), cmd.Process.Kill())
				f.record.note("end of process %d of vm %d: %v", cmd.Process.Pid, v.number, err)
			}
		}
		v.mu.Unlock()
		v.waiting.Wait()
	}
	if f.listener != nil {
		_ = f.listener.Close() // The process is about to end.
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.directory) // What is left lies in the temporary folder.
	}
}
