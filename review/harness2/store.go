package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// entry is one record of a keyed topic.
type entry struct {
	key   string
	value []byte
	raw   []byte
}

// producer is the last accepted append of a producer.
type producer struct {
	epoch, sequence, offset uint64
}

// topic is a keyed topic with one partition.
type topic struct {
	records   []entry
	producers map[string]producer
}

// store is a stand-in for the platform's metadata store with the calls that daemons use:
// append, read and newest of keyed topics. It never loses or delays an answer.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	// busy holds the machines that are turned away with 503.
	busy map[string]bool
	// calls holds the time of the last call of each machine.
	calls map[string]time.Time
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{}), busy: map[string]bool{}, calls: map[string]time.Time{}}
}

// handlerFor returns a handler that knows from which machine its calls come.
func (s *store) handlerFor(machine string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[machine] = time.Now()
		s.mu.Unlock()
		if s.isBusy(machine) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), machineKey{}, machine)))
	})
}

// machineKey is the key of the calling machine in a context.
type machineKey struct{}

func (s *store) isBusy(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy[machine]
}

// turnAway sets the machines that are turned away. Their waiting reads are answered with 503.
func (s *store) turnAway(machines ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = map[string]bool{}
	for _, m := range machines {
		s.busy[m] = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// callersSince returns the machines that have called since a time.
func (s *store) callersSince(since time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var machines []string
	for m, at := range s.calls {
		if at.After(since) {
			machines = append(machines, m)
		}
	}
	sort.Strings(machines)
	return machines
}

// topic returns a topic. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t, found := s.topics[name]
	if !found {
		t = &topic{producers: map[string]producer{}}
		s.topics[name] = t
	}
	return t
}

// add appends records and wakes waiting reads. The caller holds the lock.
func (s *store) add(t *topic, entries []entry) uint64 {
	offset := uint64(len(t.records))
	t.records = append(t.records, entries...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// put writes a record of the operator; without a value it deletes the key.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.add(s.topic("keyed.op"), []entry{{key, value, append(raw, value...)}})
}

// value returns the newest value of a key, nil if there is none.
func (s *store) value(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest []byte
	for _, e := range s.topic(name).records {
		if e.key == key {
			newest = e.value
		}
	}
	return newest
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r)
	case "/log-newest":
		s.newest(w, r)
	case "/log-read":
		s.read(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func splitRecords(data []byte) ([]entry, bool) {
	var entries []entry
	for len(data) > 0 {
		if len(data) < 4 {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(data))
		data = data[4:]
		if length < 1 || length > len(data) || int(data[0]) > length-1 {
			return nil, false
		}
		raw := data[:length:length]
		n := int(raw[0])
		entries = append(entries, entry{key: string(raw[1 : 1+n]), value: raw[1+n:], raw: raw})
		data = data[length:]
	}
	return entries, true
}

func number(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	entries, valid := splitRecords(body)
	name := r.URL.Query().Get("Topic")
	switch {
	case err != nil || !valid:
		w.WriteHeader(http.StatusBadRequest)
		return
	case name == "keyed.op" || name == "keyed.servers":
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if r.URL.Query().Has("At") && number(r, "At") != uint64(len(t.records)) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"EndOffset": len(t.records)})
		return
	}
	if id := r.URL.Query().Get("Producer"); id != "" {
		epoch, sequence := number(r, "epoch"), number(r, "Sequence")
		known, found := t.producers[id]
		switch {
		case found && epoch < known.epoch:
			reply(w, http.StatusConflict, map[string]any{"why": "fenced"})
			return
		case found && epoch == known.epoch && sequence == known.sequence:
			reply(w, http.StatusOK, map[string]any{"Offset": known.offset, "EndOffset": len(t.records)})
			return
		case found && epoch == known.epoch && sequence != known.sequence+1:
			reply(w, http.StatusConflict, map[string]any{"why": "seq", "Sequence": known.sequence + 1})
			return
		}
		t.producers[id] = producer{epoch, sequence, uint64(len(t.records))}
	}
	offset := s.add(t, entries)
	reply(w, http.StatusOK, map[string]any{"Offset": offset, "EndOffset": len(t.records)})
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("Topic"))
	values := map[string]entry{}
	for _, e := range t.records {
		values[e.key] = e
	}
	end := len(t.records)
	s.mu.Unlock()
	keys := []string{}
	for key, e := range values {
		if len(e.value) > 0 && key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []any{}
	for _, key := range keys[:min(len(keys), 500)] {
		items = append(items, map[string]any{"Key": key, "Value": base64.StdEncoding.EncodeToString(values[key].value)})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": len(keys) > 500, "EndOffset": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from := number(r, "From")
	timeout := time.After(time.Duration(number(r, "WaitMs")) * time.Millisecond)
	machine, _ := r.Context().Value(machineKey{}).(string)
	for waiting := true; ; {
		if s.isBusy(machine) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		t, changed := s.topic(r.URL.Query().Get("Topic")), s.changed
		end := uint64(len(t.records))
		var raw []byte
		if from < end {
			for _, e := range t.records[from:] {
				raw = binary.BigEndian.AppendUint32(raw, uint32(len(e.raw)))
				raw = append(raw, e.raw...)
			}
		}
		s.mu.Unlock()
		if len(raw) > 0 || !waiting {
			head := binary.BigEndian.AppendUint64(nil, end)
			_, _ = w.Write(append(binary.BigEndian.AppendUint64(head, 0), raw...))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
