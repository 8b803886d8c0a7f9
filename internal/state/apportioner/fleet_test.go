package apportioner_test

import (
	"math"
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/internal/state/apportioner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/throttler"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	daemons = 91
	step    = 20 * timer.Millis(1)
	window  = 5 * timer.Second
	// background is a second account with many requests.
	background = 400.0
)

// member is a daemon of the tests.
type member struct {
	*throttler.Throttler
	incarnation identifier.Incarnation
	weight      float64
	paused      timer.Millis
	coordinator identifier.Epoch
	cut         bool
}

// leader is a coordinator of the tests.
type leader struct {
	*apportioner.Apportioner
	paused timer.Millis
	dead   bool
}

type delivery struct {
	at  timer.Millis
	run func()
}

// fleet is the daemons and coordinators of one account with demand in requests a second.
type fleet struct {
	random     *rand.Rand
	now        timer.Millis
	accounts   []router.Account
	members    []*member
	leaders    map[identifier.Epoch]*leader
	deliveries []delivery
	delay      timer.Millis
	loss       float64
	demand     float64
	busy       bool
	// offered and admitted are by step.
	offered, admitted []int
}

// newFleet returns a fleet with uneven weights that sum up to 1. A few daemons get most
// requests if skew is large.
func newFleet(seed uint64, quota router.Quota, skew float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), leaders: map[identifier.Epoch]*leader{}, delay: 5, now: 1000, busy: true}
	f.accounts = []router.Account{{Name: "a", Quota: quota}, {Name: "b", Quota: router.Quota{PerSecond: 2 * background, Burst: background}}}
	f.demand = quota.PerSecond / 1.6
	sum := 0.0
	for range daemons {
		m := &member{weight: math.Pow(f.random.ExpFloat64(), skew)}
		sum += m.weight
		f.members = append(f.members, m)
		f.restart(m)
	}
	for _, m := range f.members {
		m.weight /= sum
	}
	f.name(1, 0)
	return f
}

func (f *fleet) restart(m *member) {
	m.Throttler = throttler.New(f.now)
	m.SetAccounts(f.now, f.accounts, daemons)
	m.SetEpoch(m.coordinator)
	m.incarnation++
}

// name starts a coordinator that daemons in contact learn of within spread.
func (f *fleet) name(epoch identifier.Epoch, spread timer.Millis) {
	f.leaders[epoch] = &leader{Apportioner: apportioner.New(f.now, epoch)}
	f.leaders[epoch].SetAccounts(f.now, f.accounts)
	f.leaders[epoch].SetDaemons(daemons)
	for _, m := range f.members {
		f.later(timer.Millis(f.random.Int64N(int64(spread)+1)), func() {
			if !m.cut {
				m.coordinator = epoch
				m.SetEpoch(epoch)
			}
		})
	}
}

func (f *fleet) setQuota(quota router.Quota) {
	f.accounts[0].Quota = quota
	for _, m := range f.members {
		m.SetAccounts(f.now, f.accounts, daemons)
	}
	for _, l := range f.leaders {
		l.SetAccounts(f.now, f.accounts)
	}
}

func (f *fleet) later(delay timer.Millis, run func()) {
	f.deliveries = append(f.deliveries, delivery{f.now + delay, run})
}

// send delivers a datagram after a random delay, if at all.
func (f *fleet) send(run func()) {
	if f.random.Float64() >= f.loss {
		f.later(timer.Millis(f.random.ExpFloat64()*float64(f.delay)), run)
	}
}

// run advances the time.
func (f *fleet) run(span timer.Millis) *fleet {
	for end := f.now + span; f.now < end; f.now += step {
		due := f.deliveries
		f.deliveries = nil
		for _, d := range due {
			if d.at > f.now {
				f.deliveries = append(f.deliveries, d)
				continue
			}
			d.run()
		}
		offered, admitted := 0, 0
		for i, m := range f.members {
			if f.now < m.paused {
				continue
			}
			for range f.poisson(f.demand * m.weight) {
				offered++
				if ok, _ := m.Admit(f.now, "a"); ok {
					admitted++
				}
			}
			if f.busy {
				for range f.poisson(background / daemons) {
					m.Admit(f.now, "b")
				}
			}
			if report, due := m.Report(f.now); due && !m.cut {
				report.Node, report.Incarnation = throttler.NodeKey(i), m.incarnation
				f.send(func() { f.arrive(m, report) })
			}
		}
		f.offered, f.admitted = append(f.offered, offered), append(f.admitted, admitted)
	}
	return f
}

// arrive passes a report to its coordinator. A paused one reads it afterwards.
func (f *fleet) arrive(m *member, report throttler.UseReport) {
	l, named := f.leaders[max(report.Epoch, m.coordinator)]
	if !named || l.dead || m.cut {
		return
	}
	if f.now < l.paused {
		f.later(l.paused-f.now, func() { f.arrive(m, report) })
		return
	}
	grant := l.Use(f.now, report)
	f.send(func() { f.answer(m, grant) })
}

func (f *fleet) answer(m *member, grant throttler.Grant) {
	switch {
	case m.cut || grant.Incarnation != m.incarnation:
	case f.now < m.paused:
		f.later(m.paused-f.now, func() { f.answer(m, grant) })
	default:
		m.Grant(f.now, grant)
	}
}

func (f *fleet) poisson(perSecond float64) int {
	limit, product, n := math.Exp(-perSecond*float64(step)/1000), f.random.Float64(), 0
	for ; product > limit; n++ {
		product *= f.random.Float64()
	}
	return n
}

// most returns the largest number of requests admitted in any window from a time after the start,
// in parts of what the quota allows.
func (f *fleet) most(quota router.Quota, from timer.Millis) float64 {
	steps, sum, largest := int(window/step), 0, 0
	counts := f.admitted[from/step:]
	for i, n := range counts {
		if sum += n; i >= steps {
			sum -= counts[i-steps]
		}
		largest = max(largest, sum)
	}
	return float64(largest) / ((quota.PerSecond*5+quota.Burst)*1.1 + 20)
}

// refused returns the share of requests refused from a time after the start.
func (f *fleet) refused(from timer.Millis) float64 {
	offered, admitted := 0, 0
	for i := from / step; i < timer.Millis(len(f.offered)); i++ {
		offered, admitted = offered+f.offered[i], admitted+f.admitted[i]
	}
	return 1 - float64(admitted)/float64(max(1, offered))
}
