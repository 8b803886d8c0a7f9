package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of an instance.
const (
	heartbeatInterval = 1500 * time.Millisecond
	// ackTimeout is the time within which a heartbeat has to be acknowledged.
	ackTimeout = time.Second
	workTime   = 20 * time.Millisecond
)

// slots is the number of requests that an instance runs at the same time.
const slots = 18

// arrival is a request that an instance has run.
type arrival struct {
	id, caller, tenant string
	at                 time.Time
}

// instance simulates an application instance. It is safe for concurrent use.
type instance struct {
	id, service, zone, address, control string
	record                              *record
	born                                int64
	server                              *http.Server
	// work is the time that a request takes.
	work time.Duration
	// onPoison is called when the request that crashes instances begins to run.
	onPoison func(arrival)
	free     chan struct{}
	stopped  chan struct{}

	mu       sync.Mutex
	state    string
	left     bool // It has deregistered.
	sequence uint64
	running  int
	waiting  int
	arrivals []arrival
	coldEnd  time.Time
	// crashAbove is the number of requests in a second above which it crashes while cold.
	crashAbove int
	crashed    bool
}

// startInstance starts an instance that announces itself until stopHeartbeats.
func startInstance(v *vm, service, id string, r *record) (*instance, error) {
	listener, err := net.Listen("tcp4", v.addresses.Backend)
	if err != nil {
		return nil, err
	}
	i := &instance{
		id: id, service: service, zone: v.zone, address: v.addresses.Backend, control: v.addresses.Control, record: r,
		born: time.Now().UnixMilli(), free: make(chan struct{}, slots), stopped: make(chan struct{}), state: "ready", work: workTime,
	}
	for range slots {
		i.free <- struct{}{}
	}
	i.server = &http.Server{Handler: i}
	go func() { _ = i.server.Serve(listener) }()
	go i.announce()
	return i, nil
}

func (i *instance) announce() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-i.stopped:
			return
		default:
			i.post("heartbeat", i.heartbeat())
		}
		select {
		case <-i.stopped:
			return
		case <-ticker.C:
		}
	}
}

// stopHeartbeats ends the heartbeats; requests are still served.
func (i *instance) stopHeartbeats() { close(i.stopped) }

// heartbeat returns the next heartbeat.
func (i *instance) heartbeat() map[string]any {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sequence++
	return map[string]any{
		"Address": i.address, "born": i.born,
		"Info":   map[string]any{"Service": i.service, "Version": "v1", "Zone": i.zone, "Concurrency": slots},
		"Status": map[string]any{"State": i.state, "Sequence": i.sequence, "WarmupLeftS": i.warmupLeft()},
	}
}

// setCold makes the instance cold again.
// It crashes if it gets more requests in a second than the given number while it is cold.
func (i *instance) setCold(span time.Duration, crashAbove int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.coldEnd, i.crashAbove = time.Now().Add(span), crashAbove
	i.record.printf("instance %s turns cold", i.id)
}

// warmupLeft returns the seconds until the instance is warm. The caller holds the lock.
func (i *instance) warmupLeft() float64 { return max(0, time.Until(i.coldEnd).Seconds()) }

// setDraining announces that the instance drains and returns the status of the
// acknowledgement.
func (i *instance) setDraining() int {
	i.mu.Lock()
	i.state = "draining"
	i.mu.Unlock()
	return i.post("heartbeat", i.heartbeat())
}

// deregister sends the last call of the instance and returns the status of its answer.
func (i *instance) deregister() int {
	i.mu.Lock()
	i.left = true // Its health page says so from now on.
	i.mu.Unlock()
	return i.post("deregister", nil)
}

// post calls the daemon beside the instance. It returns 0 if there was no answer.
func (i *instance) post(call string, body map[string]any) int {
	return i.postTo(i.control, call, body)
}

func (i *instance) postTo(address, call string, body map[string]any) int {
	data := []byte{}
	if body != nil {
		data, _ = json.Marshal(body) // The body holds only strings and numbers.
	}
	status := 0
	client := &http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/rpc?call=instances.%s&of=%s", address, call, i.id)
	response, err := client.Post(url, "application/json", bytes.NewReader(data))
	if err == nil {
		status = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	i.record.printf("instance %s sent %s %s and got %d", i.id, call, data, status)
	return status
}

// ServeHTTP answers a health check or runs a request.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Instance-Id", i.id)
	header.Set("Keep-Alive", "timeout=10")
	i.mu.Lock()
	header.Set("X-Instance-Load", fmt.Sprintf("%d,%d,%d,100", i.running, i.waiting, slots))
	leaving, cold := i.left || i.state != "ready", i.warmupLeft()
	i.mu.Unlock()
	if r.URL.Path == healthPath {
		if cold > 0 {
			header.Set("X-Warmup-Remaining", strconv.FormatFloat(cold, 'f', 3, 64))
		}
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	i.change(0, 1)
	select {
	case <-i.free:
	case <-r.Context().Done():
		i.change(0, -1)
		return
	}
	i.change(1, -1)
	i.began(arrival{id: id, caller: valueOf(r, "X-Caller-Service"), tenant: valueOf(r, "X-Tenant-Id"), at: time.Now()})
	if r.URL.Path == poisonPath && i.onPoison != nil {
		i.onPoison(i.ran()[len(i.ran())-1])
		panic(http.ErrAbortHandler) // The connection ends without an answer.
	}
	time.Sleep(i.work)
	i.free <- struct{}{}
	i.change(-1, 0)
	header.Set("X-Response-Signature", "signed-"+i.id)
	fmt.Fprintf(w, "%s %s by %s: %s", r.Method, r.URL.RequestURI(), i.id, body) // Fails if the caller has gone.
}

// valueOf returns the value of a header. Several lines with one name are one value, with
// commas between them (RFC 9110, section 5.3).
func valueOf(r *http.Request, name string) string { return strings.Join(r.Header.Values(name), ", ") }

func (i *instance) change(running, waiting int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running += running
	i.waiting += waiting
}

func (i *instance) began(a arrival) {
	i.mu.Lock()
	i.arrivals = append(i.arrivals, a)
	crashes := !i.crashed && i.warmupLeft() > 0 && i.inLastSecond(a.at) > i.crashAbove
	i.crashed = i.crashed || crashes
	running := i.running
	i.mu.Unlock()
	if crashes {
		i.record.printf("instance %s crashes with %d requests at work", i.id, running)
		i.stopHeartbeats()
		i.exit()
	}
	i.record.printf("instance %s runs %s, caller service %q, tenant %q", i.id, a.id, a.caller, a.tenant)
}

// inLastSecond returns the number of requests that began to run within the last second
// while the instance was cold. The caller holds the lock.
func (i *instance) inLastSecond(now time.Time) int {
	count := 0
	turned := i.coldEnd.Add(-warmupTime)
	for n := len(i.arrivals) - 1; n >= 0 && now.Sub(i.arrivals[n].at) <= time.Second && i.arrivals[n].at.After(turned); n-- {
		count++
	}
	return count
}

// hasCrashed reports whether the instance has crashed.
func (i *instance) hasCrashed() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.crashed
}

// ran returns the requests that the instance has run.
func (i *instance) ran() []arrival {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]arrival(nil), i.arrivals...)
}

func (i *instance) exit() { _ = i.server.Close() }
