package assembler

import (
	"sync"
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// registration counts the changes of this daemon's entry in the directory that have to be
// stored, and those that are. It is safe for concurrent use.
type registration struct {
	// wake holds a token while a change waits to be stored.
	wake chan struct{}

	mu             sync.Mutex
	wanted, stored uint64
	// progress is closed when more changes are stored.
	progress chan struct{}
}

func newRegistration() *registration {
	return &registration{wake: make(chan struct{}, 1), progress: make(chan struct{})}
}

// request asks for the entry to be stored. It does not block.
func (r *registration) request() {
	r.mu.Lock()
	r.wanted++
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// begin returns the changes that an entry made from now on includes, and takes the token.
func (r *registration) begin() uint64 {
	select {
	case <-r.wake:
	default:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wanted
}

// done records that the changes up to a number are stored.
func (r *registration) done(changes uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = max(r.stored, changes)
	close(r.progress)
	r.progress = make(chan struct{})
}

// await waits until the changes requested so far are stored, up to a time limit.
func (r *registration) await(limit timer.Millis) {
	r.mu.Lock()
	wanted := r.wanted
	r.mu.Unlock()
	timeout := time.NewTimer(limit.Duration())
	defer timeout.Stop()
	for {
		r.mu.Lock()
		stored, progress := r.stored, r.progress
		r.mu.Unlock()
		if stored >= wanted {
			return
		}
		select {
		case <-progress:
		case <-timeout.C:
			return
		}
	}
}
