package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is HeartbeatS of the settings.
const heartbeatInterval = 1500 * time.Millisecond

// instance is a stand-in for an application instance.
type instance struct {
	id, service, zone, address, control string

	slots    int
	work     func(r *http.Request) time.Duration
	born     int64
	record   *record
	sequence atomic.Uint64
	running  atomic.Int64
	server   *http.Server

	mu    sync.Mutex
	state string
}

func (i *instance) start(listener net.Listener) {
	i.born, i.state = time.Now().UnixMilli(), "ready"
	i.server = &http.Server{Handler: i}
	go func() { _ = i.server.Serve(listener) }()
	go func() {
		for {
			i.announce()
			time.Sleep(heartbeatInterval)
		}
	}()
}

func (i *instance) announce() {
	i.mu.Lock()
	state := i.state
	i.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"born": i.born, "Address": i.address,
		"Info":   map[string]any{"Service": i.service, "Version": "v1", "Zone": i.zone, "Concurrency": i.slots},
		"Status": map[string]any{"State": state, "Sequence": i.sequence.Add(1), "WarmupLeftS": 0},
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/rpc?call=instances.heartbeat&of=%s", i.control, i.id)
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	if response, err := http.DefaultClient.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// ServeHTTP answers a health check or runs a request.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d,100", i.running.Load(), i.slots))
	if r.URL.Path == "/health" {
		header.Set("X-Instance-Id", i.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != i.id {
		header.Set("X-Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	i.record.run(id, i, r)
	i.running.Add(1)
	defer i.running.Add(-1)
	select {
	case <-time.After(i.work(r)):
	case <-r.Context().Done():
		return
	}
	header.Set("X-Response-Signature", "signed-"+i.id)
	_, _ = io.WriteString(w, "answer to "+id)
}
