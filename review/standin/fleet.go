package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Settings and bounds of the deployment, as in the pages' small deployments.
const (
	graceSeconds   = 6
	drainTime      = 2 * time.Second // DrainS
	contactTime    = 3 * time.Second // ContactS
	restartDelay   = 500 * time.Millisecond
	readyTimeout   = 15 * time.Second
	retryRatio     = 0.2
	retryExtra     = 60
	budgetWindow   = 10
	healthPath     = "/health"
	internalPorts  = 2
	firstPort      = 12000
	lastPort       = 32000
	portStep       = 500
	portStarts     = 30
	settingsAccess = 0o600
)

// addresses are those of a VM.
type addresses struct {
	IP            string `json:"ip"`
	Callers       string `json:"callers"`
	Peers         string `json:"peers"`
	Ready         string `json:"ready"`
	Control       string `json:"control"`
	Backend       string `json:"backend"`
	InternalPorts [2]int `json:"internal_ports"`
}

// vm is a machine with its daemon and its instance.
type vm struct {
	name, zone string
	addresses  addresses
	settings   string
	instance   *instance
	record     *record
	program    string
	logs       *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// fleet is a store with VMs of one service.
type fleet struct {
	store  *store
	ports  *ports
	record *record
	vms    []*vm
	folder string
}

// ports hands out free ports. They lie below those that the system gives to outgoing
// connections, so that a daemon finds its ports free when it starts again.
type ports struct{ next int }

func newPorts() *ports { return &ports{firstPort + rand.IntN(portStarts)*portStep} }

// take returns the first of count adjacent ports that are free for TCP and UDP.
func (p *ports) take(count int) (int, error) {
	for p.next < lastPort {
		first := p.next
		p.next += count
		if allFree(first, count) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no port is free")
}

func allFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		tcp, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = udp.Close()
	}
	return true
}

func newAddresses(p *ports) (addresses, error) {
	a := addresses{IP: "127.0.0.1"}
	for _, field := range []*string{&a.Callers, &a.Peers, &a.Ready, &a.Control, &a.Backend} {
		port, err := p.take(1)
		if err != nil {
			return a, err
		}
		*field = fmt.Sprintf("127.0.0.1:%d", port)
	}
	first, err := p.take(internalPorts)
	a.InternalPorts = [2]int{first, first + internalPorts - 1}
	return a, err
}

// place is the zone of a VM and the service of its instance.
type place struct{ zone, service string }

// startFleet starts a store and a daemon with an instance at each place, and waits until
// all daemons are ready.
func startFleet(e environment, places []place, configuration []byte) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, ports: newPorts(), record: e.record}
	if f.store, err = startStore(); err != nil {
		return f, err
	}
	f.store.put("config", configuration)
	for n, p := range places {
		v, err := f.newVM(e, p, n+1)
		if err != nil {
			return f, err
		}
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		if err := v.awaitReady(); err != nil {
			return f, err
		}
	}
	e.record.printf("all daemons are ready")
	return f, nil
}

func (f *fleet) newVM(e environment, p place, n int) (*vm, error) {
	a, err := newAddresses(f.ports)
	if err != nil {
		return nil, err
	}
	v := &vm{name: fmt.Sprintf("sidecar-%s-%d", p.zone, n), zone: p.zone, addresses: a, record: e.record, program: e.daemon}
	v.settings = filepath.Join(f.folder, v.name+".json")
	data, err := json.Marshal(map[string]any{
		"node": v.name, "service": p.service, "failure_domain": p.zone, "region": "region", "addresses": a,
		"store":         map[string]any{"address": f.store.address()},
		"retry_budget":  map[string]any{"ratio": retryRatio, "extra": retryExtra, "window_seconds": budgetWindow},
		"rollout":       map[string]any{"rollback_seconds": 5},
		"grace_seconds": graceSeconds,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(v.settings, data, settingsAccess); err != nil {
		return nil, err
	}
	if v.logs, err = os.Create(filepath.Join(f.folder, v.name+".log")); err != nil {
		return nil, err
	}
	if err := v.start(); err != nil {
		return nil, err
	}
	v.instance, err = startInstance(v, p.service, fmt.Sprintf("i-%d", n), e.record)
	return v, err
}

// start starts the daemon with the command of the deploy file.
func (v *vm) start() error {
	process := exec.Command(v.program, "platform")
	process.Env = append(os.Environ(), "MAGNOLIAKNOT_NODE_FILE="+v.settings)
	process.Stdout, process.Stderr = v.logs, v.logs
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	v.mu.Lock()
	v.process, v.ended = process, ended
	v.mu.Unlock()
	v.record.printf("daemon %s started, process %d", v.name, process.Process.Pid)
	return nil
}

// signal sends a signal to the daemon.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.record.printf("signal %v to the daemon %s", s, v.name)
	_ = v.process.Process.Signal(s) // Fails if the process has ended.
}

// kill ends the daemon at once and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.awaitEnd()
}

func (v *vm) awaitEnd() {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	<-ended
}

// ready reports whether the daemon answers the readiness check with 200.
func (v *vm) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.addresses.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (v *vm) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if v.ready() {
			return nil
		}
	}
	return fmt.Errorf("daemon %s is not ready after %v", v.name, readyTimeout)
}

// running returns a channel that is closed when the process that was started last ends.
func (v *vm) running() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ended
}

// close ends all processes.
func (f *fleet) close() {
	for _, v := range f.vms {
		if v.process != nil {
			v.kill()
		}
		if v.instance != nil {
			v.instance.exit()
		}
		_ = v.logs.Close()
	}
	if f.store != nil {
		f.store.close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.folder)
	}
}
