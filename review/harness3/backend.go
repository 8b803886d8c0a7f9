package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	coldTime     = 3 * time.Second
	runTime      = 30 * time.Millisecond
	// crashPath is the path of the request that crashes a backend server when it begins to
	// run it, if the stand-in is started with --crash.
	crashPath = "/orders/crash"
	// partialBytes of announcedBytes are sent before a crash in the answer.
	announcedBytes = 4000
	partialBytes   = 1000
	crashStatus    = 3
)

// backend is the stand-in of a backend server, a process of its own.
type backend struct {
	id, service, address, control string
	// crash says that the request for crashPath ends the process: in its answer, or before
	// the first byte of it.
	crash    string
	slots    int
	cold     bool
	born     time.Time
	running  atomic.Int64
	sequence uint64

	mu  sync.Mutex
	out *json.Encoder
}

func serveBackend(args []string) error {
	b := &backend{born: time.Now(), out: json.NewEncoder(os.Stdout)}
	flags := flag.NewFlagSet("backend", flag.ContinueOnError)
	flags.StringVar(&b.id, "id", "", "id")
	flags.StringVar(&b.service, "service", "", "service")
	flags.StringVar(&b.address, "listen", "", "address")
	flags.StringVar(&b.control, "control", "", "address for heartbeats")
	flags.StringVar(&b.crash, "crash", "", "when a request for the crash path ends the process: answer or start")
	flags.IntVar(&b.slots, "slots", 1, "number of requests that it runs at a time")
	flags.BoolVar(&b.cold, "cold", false, "whether it is cold after its start")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", b.address)
	if err != nil {
		return err
	}
	go b.beat()
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	return server.Serve(listener)
}

func (b *backend) coldLeft() float64 {
	if !b.cold {
		return 0
	}
	return max(0, (coldTime - time.Since(b.born)).Seconds())
}

// beat announces the backend server to the daemon beside it until the process ends.
func (b *backend) beat() {
	client := &http.Client{Timeout: time.Second}
	for ; ; time.Sleep(beatInterval) {
		b.sequence++
		body, err := json.Marshal(map[string]any{
			"born": b.born.UnixMilli(), "Address": b.address,
			"Info":   map[string]any{"Service": b.service, "Version": "v1", "Concurrency": b.slots},
			"Status": map[string]any{"State": "ready", "Sequence": b.sequence, "WarmupLeftS": b.coldLeft()},
		})
		if err != nil {
			panic(err) // Strings and numbers always encode.
		}
		url := fmt.Sprintf("http://%s/rpc?call=instances.heartbeat&of=%s", b.control, b.id)
		if response, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			_ = response.Body.Close()
		}
	}
}

// ServeHTTP answers a health check or runs a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Instance-Id", b.id)
	header.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d,100", b.running.Load(), b.slots))
	if r.URL.Path == "/health" {
		if left := b.coldLeft(); left > 0 {
			header.Set("X-Warmup-Remaining", fmt.Sprintf("%.3f", left))
		}
		return
	}
	header.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if r.Header.Get("X-Expected-Instance") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.running.Add(1)
	defer b.running.Add(-1)
	b.report(arrival{Backend: b.id, ID: r.Header.Get("X-Request-Id"), Method: r.Method, Target: r.URL.RequestURI(), Body: string(body)})
	header.Set("X-Response-Signature", "signed-by-"+b.id)
	header.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == crashPath && b.crash != "" {
		b.crashNow(w)
	}
	work := runTime
	if ms, err := strconv.Atoi(r.URL.Query().Get("ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s by %s", r.Method, r.URL.RequestURI(), b.id) // Fails if the caller has left.
}

// crashNow ends the process, as a fault of the program does.
func (b *backend) crashNow(w http.ResponseWriter) {
	if b.crash == "answer" {
		w.Header().Set("Content-Length", fmt.Sprint(announcedBytes))
		_, _ = io.WriteString(w, strings.Repeat("x", partialBytes)) // The process ends in any case.
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(runTime)
	os.Exit(crashStatus)
}

func (b *backend) report(a arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.out.Encode(a) // Fails if the case has ended.
}

// crashMode is passed to the backend servers that start from now on.
var crashMode atomic.Value

// startBackend starts the backend server of a VM and starts it again, under another id and
// cold, some seconds after it has ended.
func (v *vm) startBackend() {
	v.waiting.Add(1)
	go func() {
		defer v.waiting.Done()
		for !v.fleet.isClosed() {
			if err := v.runBackend(); err != nil {
				v.fleet.record.note("backend server of vm %d: %v", v.number, err)
			}
			time.Sleep(restartDelay)
		}
	}()
}

// runBackend runs the backend server until it ends.
func (v *vm) runBackend() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	mode, _ := crashMode.Load().(string)
	id := fmt.Sprintf("i-%d-%d", v.number, v.starts)
	cmd := exec.Command(
		self, "backend", "--id", id, "--service", v.service, "--listen", v.address(portBackend), "--control", v.address(portControl),
		"--crash", mode, fmt.Sprintf("--slots=%d", v.fleet.slots), fmt.Sprintf("--cold=%v", v.starts > 0),
	)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	v.mu.Lock()
	if v.fleet.isClosed() {
		v.mu.Unlock()
		return nil
	}
	v.starts++
	v.backend, err = cmd, cmd.Start()
	v.mu.Unlock()
	if err != nil {
		return err
	}
	v.fleet.record.note("backend server %s of vm %d started", id, v.number)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var a arrival
		if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
			return err
		}
		a.At, a.VM = v.fleet.record.now(), v.number
		v.fleet.record.arrived(a)
	}
	v.fleet.record.note("backend server %s of vm %d ended: %v", id, v.number, cmd.Wait())
	return nil
}

// restartBackend ends the backend server, which then starts again.
func (v *vm) restartBackend() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.backend != nil {
		_ = v.backend.Process.Kill() // It may have ended.
	}
}
