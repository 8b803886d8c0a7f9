package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// appendTime is how long a partition takes for an append.
	appendTime = 4 * time.Millisecond
	// pageSize is the maximum number of records in an answer to /log-newest.
	pageSize      = 500
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

// entry is a record of a topic.
type entry struct {
	raw   []byte
	key   string
	value []byte
}

// producer is the state of a producer's appends to a partition.
type producer struct {
	epoch, next uint64
	// last holds the answers to the latest appends by sequence number.
	last map[uint64]appended
}

type appended struct{ Offset, EndOffset uint64 }

// topic has one partition that keeps all its records.
type topic struct {
	entries   []entry
	producers map[string]*producer
	changed   chan struct{}
}

// store simulates the platform's log. It is safe for concurrent use.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	listener net.Listener
	server   *http.Server
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string]*topic{}, listener: listener}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// topic returns a topic and creates it on first use. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t, found := s.topics[name]
	if !found {
		t = &topic{producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(entries []entry) appended {
	first := uint64(len(t.entries))
	t.entries = append(t.entries, entries...)
	close(t.changed)
	t.changed = make(chan struct{})
	return appended{first, uint64(len(t.entries))}
}

// put writes a record of the operator.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.topic(topicOperator).add([]entry{{raw: append(raw, value...), key: key, value: value}})
}

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/log-append":
		time.Sleep(appendTime)
		s.append(w, r, body)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(r *http.Request, name string) uint64 {
	value, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64) // A missing one is zero.
	return value
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // Fails if the caller has gone.
}

func splitRecords(body []byte, keyed bool) ([]entry, bool) {
	var entries []entry
	for len(body) > 0 {
		if len(body) < 4 || uint64(binary.BigEndian.Uint32(body)) > uint64(len(body)-4) {
			return nil, false
		}
		length := binary.BigEndian.Uint32(body)
		e := entry{raw: body[4 : 4+length]}
		body = body[4+length:]
		if keyed {
			if len(e.raw) == 0 || int(e.raw[0]) > len(e.raw)-1 {
				return nil, false
			}
			e.key, e.value = string(e.raw[1:1+e.raw[0]]), e.raw[1+e.raw[0]:]
		}
		entries = append(entries, e)
	}
	return entries, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	query := r.URL.Query()
	name := query.Get("Topic")
	if name == topicOperator || name == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	entries, valid := splitRecords(body, strings.HasPrefix(name, "keyed."))
	if !valid {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if query.Has("At") && number(r, "At") != uint64(len(t.entries)) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"EndOffset": len(t.entries)})
		return
	}
	if !query.Has("Producer") {
		reply(w, http.StatusOK, t.add(entries))
		return
	}
	epoch, sequence := number(r, "epoch"), number(r, "Sequence")
	p, found := t.producers[query.Get("Producer")]
	switch {
	case !found || epoch > p.epoch:
		p = &producer{epoch: epoch, next: sequence, last: map[uint64]appended{}}
		t.producers[query.Get("Producer")] = p
	case epoch < p.epoch:
		reply(w, http.StatusConflict, map[string]any{"why": "fenced"})
		return
	}
	if known, repeated := p.last[sequence]; repeated && sequence+5 >= p.next {
		reply(w, http.StatusOK, known)
		return
	}
	if sequence != p.next {
		reply(w, http.StatusConflict, map[string]any{"why": "seq", "Sequence": p.next})
		return
	}
	p.last[sequence] = t.add(entries)
	p.next++
	reply(w, http.StatusOK, p.last[sequence])
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	timeout := time.NewTimer(time.Duration(number(r, "WaitMs")) * time.Millisecond)
	defer timeout.Stop()
	from := number(r, "From")
	for waited := false; ; {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("Topic"))
		end, changed := uint64(len(t.entries)), t.changed
		out := binary.BigEndian.AppendUint64(nil, end)
		out = binary.BigEndian.AppendUint64(out, 0)
		if from < end {
			for _, e := range t.entries[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(e.raw)))
				out = append(out, e.raw...)
			}
		}
		s.mu.Unlock()
		if from < end || waited {
			_, _ = w.Write(out) // Fails if the caller has gone.
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("Topic"))
	end := len(t.entries)
	values, offsets := map[string][]byte{}, map[string]int{}
	for at, e := range t.entries {
		if len(e.value) == 0 {
			delete(values, e.key)
			continue
		}
		values[e.key], offsets[e.key] = e.value, at
	}
	s.mu.Unlock()
	var keys []string
	for key := range values {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, map[string]any{"Key": key, "Value": base64.StdEncoding.EncodeToString(values[key]), "Offset": offsets[key]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": len(keys) > pageSize, "EndOffset": end})
}

// records returns the values of all records of a topic with a key, oldest first.
func (s *store) records(name, key string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var values []string
	for _, e := range s.topic(name).entries {
		if e.key == key {
			values = append(values, string(e.value))
		}
	}
	return values
}
