package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// machine is a machine with a daemon and its instance.
type machine struct {
	name, zone, service, ip string

	process  *exec.Cmd
	instance *instance
	settings string
}

// Ports of every machine, as offsets from the first port of the deployment.
const (
	portInbound = iota
	portOutbound
	portReady
	portControl
	portApp
	portInternal // And the next one.
	portCount    = portInternal + 2
)

// deployment is a small deployment with settings like those of the users' small sites.
type deployment struct {
	folder, binary string
	port           int
	store          *store
	storeAddress   string
	record         *record
	machines       []*machine
}

// place is a service and the zone of one of its instances.
type place struct{ service, zone string }

// services is the layout of the small deployments: three services in three zones.
var services = []place{
	{"quotes", "zone-a"},
	{"quotes", "zone-a"},
	{"quotes", "zone-b"},
	{"quotes", "zone-c"},
	{"offers", "zone-a"},
	{"offers", "zone-b"},
	{"offers", "zone-c"},
	{"payouts", "zone-a"},
	{"payouts", "zone-b"},
	{"payouts", "zone-c"},
}

// newDeployment lays out the machines on free ports and starts the store.
func newDeployment(r *record, layout []place, work func(r *http.Request) time.Duration) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, binary: "target/magnoliaknot", store: newStore(), record: r}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, d.store) }()
	for index, s := range layout {
		d.machines = append(d.machines, &machine{
			name: fmt.Sprintf("sidecar-%s-%d", s.zone, index+1), zone: s.zone, service: s.service, ip: fmt.Sprintf("127.0.0.%d", 10+index),
		})
	}
	if d.port, err = d.freePorts(); err != nil {
		return nil, err
	}
	for index, m := range d.machines {
		m.instance = &instance{
			id: fmt.Sprintf("i-%08x%02x", rand.Uint32(), index), service: m.service, zone: m.zone, slots: 6, work: work, record: r,
			address: d.address(m, portApp), control: d.address(m, portControl),
		}
	}
	return d, nil
}

func (d *deployment) address(m *machine, port int) string {
	return fmt.Sprintf("%s:%d", m.ip, d.port+port)
}

// freePorts returns the first of portCount ports that are free on every machine.
func (d *deployment) freePorts() (int, error) {
	for range 50 {
		first := 20000 + rand.IntN(10000)
		free := true
		for _, m := range d.machines {
			for port := range portCount {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", m.ip, first+port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// writeSettings writes the settings of a machine as the template of the deploy file has them.
func (d *deployment) writeSettings(m *machine, storeAddress string) error {
	m.settings = filepath.Join(d.folder, m.name+".json")
	data, err := json.Marshal(map[string]any{
		"node": m.name, "service": m.service, "failure_domain": m.zone, "region": "region-1",
		"addresses": map[string]any{
			"ip": m.ip, "callers": d.address(m, portOutbound), "peers": d.address(m, portInbound), "ready": d.address(m, portReady),
			"control": d.address(m, portControl), "backend": d.address(m, portApp),
			"internal_ports": []int{d.port + portInternal, d.port + portInternal + 1},
		},
		"store":         map[string]any{"address": storeAddress},
		"retry_budget":  map[string]any{"ratio": 0.2, "extra": 58, "window_seconds": 10},
		"rollout":       map[string]any{"rollback_seconds": 5},
		"grace_seconds": 6,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, data, 0o600)
}

// startDaemon starts the daemon of a machine with the command of the deploy file.
func (d *deployment) startDaemon(m *machine) error {
	log, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.process = exec.Command(d.binary, "platform")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "MAGNOLIAKNOT_NODE_FILE=" + m.settings}
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // Ends with this process.
	if err := m.process.Start(); err != nil {
		return err
	}
	return log.Close()
}

// startInstance starts the instance of a machine.
func (d *deployment) startInstance(m *machine) error {
	listener, err := net.Listen("tcp4", d.address(m, portApp))
	if err != nil {
		return err
	}
	m.instance.start(listener)
	return nil
}

// ready waits until every daemon answers its readiness check with 200.
func (d *deployment) ready(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, m := range d.machines {
		for {
			response, err := client.Get("http://" + d.address(m, portReady) + "/ready")
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// leadTime is the time from the start of the machines to that of the traffic.
const leadTime = 8 * time.Second

// start starts every daemon and instance, waits until the daemons are ready and until traffic
// starts. storeAddress returns the address at which a machine reaches the store.
func (d *deployment) start(storeAddress func(m *machine) (string, error)) error {
	for _, m := range d.machines {
		address, err := storeAddress(m)
		if err != nil {
			return err
		}
		if err := d.writeSettings(m, address); err != nil {
			return err
		}
		if err := d.startDaemon(m); err != nil {
			return err
		}
		if err := d.startInstance(m); err != nil {
			return err
		}
	}
	if err := d.ready(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(leadTime)
	return nil
}

// stop kills every daemon and removes the folder.
func (d *deployment) stop() {
	for _, m := range d.machines {
		if m.process != nil {
			_ = m.process.Process.Kill()
			_ = m.process.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs are in", d.folder)
	}
}

// route is a route of a configuration.
type route struct {
	host, prefix, service, kind string
	timeout                     float64
}

// tenant is a tenant of a configuration with one key.
type tenant struct {
	name, key   string
	rate, burst float64
}

// configuration encodes a configuration without tenants in the form of the pages.
func configuration(version int, routes ...route) []byte {
	return configurationFor(version, nil, routes...)
}

// configurationFor encodes a configuration in the form of the pages.
func configurationFor(version int, tenants []tenant, routes ...route) []byte {
	var resources []any
	for _, t := range tenants {
		resources = append(resources, map[string]any{"Type": "Tenants", "Metadata": map[string]any{"Name": t.name}, "Spec": map[string]any{
			"ApiKeys": []string{t.key}, "Priority": 1, "RatePerS": t.rate, "Burst": t.burst,
		}})
	}
	for i, r := range routes {
		resources = append(resources, map[string]any{"Type": "Routes", "Metadata": map[string]any{"Name": fmt.Sprintf("r-%d", i)}, "Spec": map[string]any{
			"Host": r.host, "PathPrefix": r.prefix, "RouteType": r.kind, "TimeoutS": r.timeout, "TargetLatencyS": 0.3, "Priority": 1,
			"Service": r.service, "Attempts": 2, "Public": false,
		}})
	}
	for _, name := range []string{"quotes", "offers", "payouts"} {
		resources = append(resources, map[string]any{"Type": "Services", "Metadata": map[string]any{"Name": name}, "Spec": map[string]any{
			"HealthPath": "/health", "MaxConnections": 220, "WarmupS": 3, "WarmupPerS": 16,
		}})
	}
	resources = append(resources, map[string]any{"Type": "Limits", "Metadata": map[string]any{}, "Spec": map[string]any{
		"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15,
	}})
	data, err := json.Marshal(map[string]any{"Version": fmt.Sprintf("%08x", version), "Resources": resources})
	if err != nil {
		panic(err)
	}
	return data
}
