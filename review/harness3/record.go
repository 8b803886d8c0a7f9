package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// arrival is a request that a backend server began to run.
type arrival struct {
	At      time.Duration // Since the start of the case.
	VM      int
	Backend string
	ID      string
	Method  string
	Target  string
	Body    string
}

// record holds what was sent, answered and run. It is safe for concurrent use.
type record struct {
	start time.Time

	mu       sync.Mutex
	file     *os.File
	out      *bufio.Writer
	arrivals []arrival
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *record) now() time.Duration { return time.Since(r.start) }

// note writes a line with the time since the start of the case.
func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, values...)) // Close reports a failed write.
}

func (r *record) arrived(a arrival) {
	r.note("run: vm %d, backend %s, id %s, %s %s %.40q", a.VM, a.Backend, a.ID, a.Method, a.Target, a.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// matching returns the arrivals that a function selects, in order.
func (r *record) matching(selected func(arrival) bool) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []arrival
	for _, a := range r.arrivals {
		if selected(a) {
			found = append(found, a)
		}
	}
	return found
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
