package spreader_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/spreader"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Times of the model. They are those of the gossiper and of the fetches between
// daemons.
const (
	interval    = 400 * timer.Millis(1)
	sameDelay   = 60
	otherDelay  = 250
	oneWay      = 2 * timer.Millis(1)
	fetchFailed = 800 * timer.Millis(1)
	// readers is the number of daemons that read a change from the store.
	readers = 5
	// tableSize bounds the members that a daemon of the model knows.
	tableSize = 64
	// applyTime is the shortest time within which the users' rules want a change in
	// force everywhere.
	applyTime = 2 * timer.Second
)

// event is something that happens at a daemon of the model.
type event struct {
	at   timer.Millis
	node int
	run  func(at timer.Millis, node int)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// spread simulates how a change of the configuration reaches a fleet.
type spread struct {
	random   *rand.Rand
	members  []registrar.Member
	spreader []*spreader.Spreader
	loss     float64
	// reachable reports whether two daemons can exchange messages at a time.
	reachable func(at timer.Millis, from, to int) bool
	queue     events
	hasIt     []timer.Millis // When a daemon had the change, or -1.
	fetching  []bool
	sent      []int
}

func newSpread(count int, loss float64, reachable func(timer.Millis, int, int) bool) *spread {
	s := &spread{
		random: rand.New(rand.NewPCG(seed, uint64(count))), members: fleet(count), loss: loss, reachable: reachable,
		hasIt: make([]timer.Millis, count), fetching: make([]bool, count), sent: make([]int, count),
	}
	for i := range count {
		s.hasIt[i] = -1
		known := make([]registrar.Member, 0, tableSize)
		for n := range min(count-1, tableSize) {
			j := (i + 1 + n) % count // All of a small fleet.
			if count > tableSize {
				j = s.random.IntN(count)
			}
			if j != i {
				known = append(known, s.members[j])
			}
		}
		sp := spreader.New(s.members[i].FailureDomain, s.random)
		sp.SetMembers(known)
		s.spreader = append(s.spreader, sp)
	}
	return s
}

func (s *spread) schedule(at timer.Millis, node int, run func(timer.Millis, int)) {
	heap.Push(&s.queue, event{at, node, run})
}

func index(m registrar.Member) int { return int(m.Incarnation) - 1 }

// send sends a status message of a daemon.
func (s *spread) send(at timer.Millis, from int, kind spreader.Kind) {
	for _, m := range s.spreader[from].Targets(kind, func(registrar.Member) bool { return false }) {
		s.sent[from]++
		to := index(m)
		if s.random.Float64() < s.loss || !s.reachable(at, from, to) || s.hasIt[from] < 0 {
			continue
		}
		s.schedule(at+oneWay, to, func(at timer.Millis, node int) { s.hear(at, node, from) })
	}
}

// hear schedules a fetch at a daemon that heard of the change.
func (s *spread) hear(at timer.Millis, node, from int) {
	if s.hasIt[node] >= 0 || s.fetching[node] {
		return
	}
	s.fetching[node] = true
	delay := otherDelay
	if s.members[node].FailureDomain == s.members[from].FailureDomain {
		delay = sameDelay
	}
	s.schedule(at+timer.Millis(1+s.random.IntN(delay)), node, func(at timer.Millis, node int) {
		if !s.reachable(at, node, from) {
			s.schedule(at+fetchFailed, node, func(_ timer.Millis, node int) { s.fetching[node] = false })
			return
		}
		s.schedule(at+2*oneWay, node, s.adopt)
	})
}

func (s *spread) adopt(at timer.Millis, node int) {
	s.fetching[node] = false
	if s.hasIt[node] >= 0 {
		return
	}
	s.hasIt[node] = at
	s.send(at, node, spreader.Change)
}

// run lets the readers learn of the change and returns after a time.
func (s *spread) run(span timer.Millis) {
	for i := range s.members {
		var tick func(at timer.Millis, node int)
		tick = func(at timer.Millis, node int) {
			s.send(at, node, spreader.Periodic)
			s.schedule(at+interval, node, tick)
		}
		s.schedule(timer.Millis(s.random.IntN(int(interval))), i, tick)
	}
	for range readers {
		s.schedule(0, s.random.IntN(len(s.members)), s.adopt)
	}
	for len(s.queue) > 0 && s.queue[0].at <= span {
		e := heap.Pop(&s.queue).(event)
		e.run(e.at, e.node)
	}
}

// Guards against a change of the configuration that some daemons do not have in time,
// and against a daemon whose load grows with the fleet: under loss of half of the
// datagrams, with two failure domains that cannot reach each other while others reach
// both, and after a pause of some daemons.
func TestSpreadOfChange(t *testing.T) {
	always := func(timer.Millis, int, int) bool { return true }
	cut := func(_ timer.Millis, from, to int) bool {
		x, y := from%4, to%4
		return !(x == 0 && y == 1 || x == 1 && y == 0)
	}
	const pauseEnd = timer.Second
	paused := func(at timer.Millis, from, to int) bool {
		return at >= pauseEnd || from%10 > 0 && to%10 > 0
	}
	cases := []struct {
		name      string
		loss      float64
		reachable func(timer.Millis, int, int) bool
		// from is the time from which all daemons can be reached.
		from   timer.Millis
		counts []int
	}{
		{"calm", 0.001, always, 0, []int{30, 300, 3000}},
		{"half of the datagrams are lost", 0.5, always, 0, []int{30, 300, 3000, 34_000}},
		{"two failure domains are cut from each other", 0.001, cut, 0, []int{30, 300, 3000}},
		{"a tenth of the daemons are paused", 0.001, paused, pauseEnd, []int{30, 300, 3000}},
	}
	for _, c := range cases {
		for _, count := range c.counts {
			s := newSpread(count, c.loss, c.reachable)
			s.run(c.from + applyTime)
			missing, last, most := 0, timer.Millis(0), 0
			for i, at := range s.hasIt {
				if at < 0 {
					missing++
				}
				last, most = max(last, at), max(most, s.sent[i])
			}
			rounds := float64(c.from+applyTime)/float64(interval) + 1
			bound := int(rounds)*6 + 12 // The periodic samples and one change.
			if count <= spreader.SmallFleet {
				bound = int(rounds+1) * spreader.SmallFleet
			}
			if missing > 0 || most > bound {
				t.Errorf("%s, %d daemons: %d without the change after %d ms; at most %d datagrams from one, bound %d", c.name, count, missing, c.from+applyTime, most, bound)
			}
			t.Logf("%s, %d daemons: last one after %d ms (log2 n = %.1f), at most %d datagrams from one", c.name, count, last, math.Log2(float64(count)), most)
		}
	}
}
