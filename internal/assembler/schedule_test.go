package assembler

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/verifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// countingSource is a source whose reads always succeed without a change.
type countingSource struct {
	memorySource
	schedule chan Schedule
	// caughtUp receives each read that is to catch up.
	caughtUp chan struct{}
}

func newCountingSource() countingSource {
	return countingSource{schedule: make(chan Schedule, 1), caughtUp: make(chan struct{}, 16)}
}

// SetSchedule implements Source.
func (s countingSource) SetSchedule(schedule Schedule) { s.schedule <- schedule }

// Follow implements Source.
func (s countingSource) Follow(ctx context.Context, _ func(*router.Snapshot)) {
	schedule := <-s.schedule
	for ctx.Err() == nil {
		if schedule.Wait(ctx) {
			s.caughtUp <- struct{}{}
		}
		time.Sleep(10 * time.Millisecond)
		schedule.Succeed(0)
	}
}

// Guards against a daemon that hears of a newer configuration, can fetch it from no member
// and keeps its old one although it reaches the source.
func TestReadsIfMembersCannotBeAsked(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0") // Accepts connections and never answers.
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	cases := []struct {
		name string
		peer identifier.Address
	}{
		{"refused", "127.0.0.1:1"},
		{"no answer", identifier.Address(silent.Addr().String())},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			vm := newTestVM(t, "a", newMemoryDirectory())
			source := newCountingSource()
			d, err := New(Config{
				Node: "a", Service: "orders", Addresses: vm.addresses, Source: source, Directory: vm.directory, Logger: slog.New(slog.DiscardHandler),
			})
			if err != nil {
				t.Fatal(err)
			}
			d.schedule.place = func() verifier.Place { return verifier.Place{Rank: 50, Candidates: 60} } // Its turn comes late.
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go d.gossiper.Run(ctx)
			go source.Follow(ctx, d.adopt)
			d.scheduleFetch(registrar.Member{Node: "b", Peer: c.peer})
			select {
			case <-source.caughtUp:
			case <-time.After(3 * time.Second):
				t.Fatal("the source was not read")
			}
		})
	}
}
