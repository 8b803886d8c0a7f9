package verifier_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/verifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Times of the simulated fleet, as in packages platform, gossiper and assembler.
const (
	tick           = 10 * timer.Millis(1)
	pollWait       = 700 * timer.Millis(1)
	reportInterval = 400 * timer.Millis(1)
	silence        = 1500 * timer.Millis(1)
	refusalTime    = 10 * timer.Millis(1)
	silentTime     = 1700 * timer.Millis(1)
	fetchDelay     = 250 * timer.Millis(1)
	fetchTimeout   = 800 * timer.Millis(1)
)

// daemon is a simulated daemon.
type daemon struct {
	state       *verifier.Verifier
	position    int
	unreachable bool
	phase       timer.Millis
	heardAt     []timer.Millis
	marked      []bool // Whether each member has last reported that it does not reach the store.
	// readSince is the start of a running read, readEnd the end of one that will fail.
	readSince, readEnd timer.Millis
	// fetchAt is the start of a fetch from a member, zero without one, and failsAt the end of
	// one without an answer.
	fetchAt   timer.Millis
	failsAt   timer.Millis
	fetchFrom int
}

// fleet simulates daemons that hear, fetch and read from a store.
type fleet struct {
	random   *rand.Rand
	now      timer.Millis
	position int // Of the store.
	daemons  []*daemon
	calls    int
	// refused reports whether the store refuses a daemon, passes whether packets from one
	// daemon reach another.
	refused func(i int) bool
	passes  func(from, to int) bool
	// silent makes refused calls wait for a timeout.
	silent bool
}

func newFleet(count int, random *rand.Rand) *fleet {
	f := &fleet{
		random: random, now: timer.Second,
		refused: func(int) bool { return false }, passes: func(int, int) bool { return true },
	}
	for range count {
		d := &daemon{
			state: verifier.New(random), phase: timer.Millis(random.Int64N(int64(reportInterval)/int64(tick))) * tick,
			heardAt: make([]timer.Millis, count), marked: make([]bool, count),
		}
		for i := range d.heardAt {
			d.heardAt[i] = -silence
		}
		f.daemons = append(f.daemons, d)
	}
	return f
}

func (f *fleet) run(span timer.Millis) {
	for end := f.now + span; f.now < end; f.now += tick {
		for i, d := range f.daemons {
			f.read(i, d)
			f.fetch(i, d)
			if f.now%reportInterval == d.phase {
				f.report(i)
			}
		}
	}
}

// place ranks the daemons by their numbers.
func (f *fleet) place(i int) verifier.Place {
	own := f.daemons[i]
	place := verifier.Place{Candidates: 1}
	for j := range f.daemons {
		if j == i || f.now-own.heardAt[j] > silence {
			continue
		}
		place.Candidates++
		if own.marked[j] != own.unreachable && own.unreachable || own.marked[j] == own.unreachable && j < i {
			place.Rank++
		}
	}
	return place
}

func (f *fleet) read(i int, d *daemon) {
	if d.readSince == 0 {
		if d.state.Next(f.place(i)) > f.now {
			return
		}
		f.calls++
		d.readSince, d.readEnd = f.now, 0
	}
	switch {
	case d.readEnd == 0 && f.refused(i):
		d.readEnd = f.now + refusalTime
		if f.silent {
			d.readEnd = d.readSince + silentTime
		}
	case d.readEnd > 0 && f.now >= d.readEnd:
		d.state.Fail(f.now)
		d.unreachable, d.readSince = true, 0
	case d.readEnd > 0:
	case d.position < f.position || f.now-d.readSince >= pollWait:
		if d.position < f.position {
			d.position = f.position
			f.report(i)
		}
		d.state.Succeed(f.now)
		d.unreachable, d.readSince = false, 0
	}
}

// report sends a daemon's position and evidence to the others.
func (f *fleet) report(i int) {
	own := f.daemons[i]
	for j, d := range f.daemons {
		if j == i || !f.passes(i, j) {
			continue
		}
		d.heardAt[i], d.marked[i] = f.now, own.unreachable
		at, known := own.state.Verified()
		switch {
		case own.position > d.position && d.fetchAt == 0:
			d.fetchAt, d.fetchFrom = f.now+timer.Millis(f.random.Int64N(int64(fetchDelay))), i
		case own.position <= d.position && known:
			d.state.Confirm(at)
		}
	}
}

func (f *fleet) fetch(i int, d *daemon) {
	if d.fetchAt == 0 || f.now < d.fetchAt {
		return
	}
	from := f.daemons[d.fetchFrom]
	switch {
	case d.failsAt > f.now:
		return
	case from.position <= d.position:
	case d.failsAt > 0:
		d.state.Demand(f.now)
	case !f.passes(i, d.fetchFrom) || !f.passes(d.fetchFrom, i):
		d.failsAt = f.now + fetchTimeout
		return
	default:
		d.position = from.position
		d.state.Satisfy()
		f.report(i)
	}
	d.fetchAt, d.failsAt = 0, 0
}

// outdated returns the daemons that have an earlier position than the store.
func (f *fleet) outdated() (found []int) {
	for i, d := range f.daemons {
		if d.position < f.position {
			found = append(found, i)
		}
	}
	return found
}

// zoneOf puts the daemons into zones of neighbouring ranks, the worst case.
func zoneOf(i, count, zones int) int { return i * zones / count }

// Guards against daemons that keep an outdated configuration because those that read the
// store can't, or aren't heard, while they could read it themselves.
func TestChangeReachesEveryDaemonInTime(t *testing.T) {
	// bound is the time from a change until it is in force.
	const bound = 2 * timer.Second
	outage := func(f *fleet) {
		f.refused = func(int) bool { return true }
		f.run(4500)
		f.refused = func(int) bool { return false }
		f.run(timer.Millis(3000 + f.random.Int64N(12000)))
	}
	cases := []struct {
		name    string
		trouble func(f *fleet, count int)
		// spared says which daemons have to be in time.
		spared func(i, count int) bool
	}{
		{"calm", func(*fleet, int) {}, func(int, int) bool { return true }},
		{"the store turns the first third away after an outage", func(f *fleet, count int) {
			outage(f)
			f.refused = func(i int) bool { return i < count/3 }
			f.run(timer.Millis(f.random.Int64N(3000)))
		}, func(int, int) bool { return true }},
		{"the store leaves the first third without an answer", func(f *fleet, count int) {
			f.silent = true
			f.refused = func(i int) bool { return i < count/3 }
			f.run(timer.Millis(f.random.Int64N(3000)))
		}, func(int, int) bool { return true }},
		{"the store turns one in three away", func(f *fleet, _ int) {
			away := f.random.Perm(3)[0]
			f.refused = func(i int) bool { return i%3 == away }
			f.run(timer.Millis(f.random.Int64N(3000)))
		}, func(int, int) bool { return true }},
		{"nothing gets into the first zone after an outage", func(f *fleet, count int) {
			outage(f)
			f.refused = func(i int) bool { return zoneOf(i, count, 3) == 0 }
			f.passes = func(from, to int) bool { return zoneOf(to, count, 3) != 0 || zoneOf(from, count, 3) == 0 }
			f.run(timer.Millis(f.random.Int64N(3000)))
		}, func(i, count int) bool { return zoneOf(i, count, 3) != 0 }},
		{"nothing gets out of the last zone", func(f *fleet, count int) {
			f.passes = func(from, to int) bool { return zoneOf(from, count, 3) != 2 || zoneOf(to, count, 3) == 2 }
			f.run(timer.Millis(f.random.Int64N(3000)))
		}, func(int, int) bool { return true }},
		{"nothing gets out of the first zone", func(f *fleet, count int) {
			f.passes = func(from, to int) bool { return zoneOf(from, count, 3) != 0 || zoneOf(to, count, 3) == 0 }
			f.run(timer.Millis(f.random.Int64N(3000)))
		}, func(int, int) bool { return true }},
		{"the first zone is cut off in both directions", func(f *fleet, count int) {
			f.passes = func(from, to int) bool { return (zoneOf(to, count, 3) == 0) == (zoneOf(from, count, 3) == 0) }
			f.run(timer.Millis(f.random.Int64N(3000)))
		}, func(int, int) bool { return true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, count := range []int{3, 10, 12, 30} {
				for seed := range uint64(20) {
					f := newFleet(count, rand.New(rand.NewPCG(seed, 1)))
					f.run(3 * timer.Second)
					c.trouble(f, count)
					f.position++
					f.run(bound)
					for _, i := range f.outdated() {
						if c.spared(i, count) {
							t.Fatalf("daemon %d of %d has an old configuration %d ms after the change (seed %d)", i, count, bound, seed)
						}
					}
				}
			}
		})
	}
}

// Guards against calls to the store that grow with the fleet, in calm or in an outage.
func TestCallsDoNotGrowWithFleet(t *testing.T) {
	const span = 20
	for _, count := range []int{1, 10, 30, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			f := newFleet(count, rand.New(rand.NewPCG(7, 1)))
			f.run(3 * timer.Second)
			f.calls = 0
			f.run(span * timer.Second)
			if f.calls > 3*span {
				t.Errorf("%d calls in %d s", f.calls, span)
			}
			f.refused = func(int) bool { return true }
			f.run(5 * timer.Second) // The evidence of each gets old once.
			f.calls = 0
			f.run(span * timer.Second)
			if f.calls > 6*span {
				t.Errorf("%d calls in %d s of an outage", f.calls, span)
			}
		})
	}
}
