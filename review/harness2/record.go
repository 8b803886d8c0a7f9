package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"
)

// request is what the clients and instances saw of one request. Times are in seconds since
// the start of the record.
type request struct {
	id, machine, path string
	sent, answered    float64
	status            int
	failure           string
	runs              []run
}

// run is one run of a request at an instance.
type run struct {
	at                float64
	instance, service string
}

// record holds everything that was seen.
type record struct {
	start time.Time

	mu       sync.Mutex
	requests map[string]*request
	order    []*request
	events   []string
}

func newRecord() *record { return &record{start: time.Now(), requests: map[string]*request{}} }

func (r *record) now() float64 { return time.Since(r.start).Seconds() }

// event notes something that the platform or the operator did, and returns its time.
func (r *record) event(format string, arguments ...any) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.now()
	r.events = append(r.events, fmt.Sprintf("%9.3f  %s", at, fmt.Sprintf(format, arguments...)))
	return at
}

func (r *record) send(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.sent = r.now()
	r.requests[q.id] = q
	r.order = append(r.order, q)
}

func (r *record) answer(q *request, status int, failure string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.answered, q.status, q.failure = r.now(), status, failure
}

func (r *record) run(id string, i *instance, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, found := r.requests[id]
	if !found {
		q = &request{id: id, machine: "unknown"}
		r.requests[id] = q
		r.order = append(r.order, q)
	}
	q.runs = append(q.runs, run{r.now(), i.id, i.service})
}

// write writes the record to a file.
func (r *record) write(path string, verdict []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, line := range verdict {
		fmt.Fprintln(file, line)
	}
	fmt.Fprintln(file, "\nevents (seconds since the start)")
	sort.Strings(r.events)
	for _, line := range r.events {
		fmt.Fprintln(file, line)
	}
	fmt.Fprintln(file, "\nrequests: sent, machine, id, path -> status after seconds; runs")
	for _, q := range r.order {
		fmt.Fprintf(file, "%9.3f  %s %s %s -> %d %s after %.3f;", q.sent, q.machine, q.id, q.path, q.status, q.failure, q.answered-q.sent)
		for _, run := range q.runs {
			fmt.Fprintf(file, " %.3f %s (%s)", run.at, run.instance, run.service)
		}
		fmt.Fprintln(file)
	}
	return file.Close()
}
