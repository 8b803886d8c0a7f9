package apportioner_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/apportioner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/state/throttler"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestApportioner(t *testing.T) { tester.RunSpecs(t, "apportioner") }

// rates are the quotas of the tests, from the smallest to the largest.
var rates = []float64{2, 7, 25, 100, 381}

const (
	// hot is by how much the demand of an account exceeds its usual one.
	hot      = 7.5
	seed     = 20261204
	variants = 4
)

// each runs a schedule for each rate with even and uneven demand, with other requests at
// the daemons and without, and passes the fleet and the quota to check.
func each(schedule func(*fleet), check func(f *fleet, quota router.Quota)) {
	for _, rate := range rates {
		for variant := range uint64(variants) {
			quota := router.Quota{PerSecond: rate, Burst: rate}
			f := newFleet(seed+variant, quota, []float64{0.3, 3}[variant%2])
			f.busy = variant%4 < 2
			f.run(10 * timer.Second)
			schedule(f)
			check(f, quota)
		}
	}
}

func (f *fleet) cutHalf() {
	for i, m := range f.members {
		m.cut = i%2 == 0
	}
}

// replace names another coordinator at the time at which it happens after one was lost.
func (f *fleet) replace(epoch identifier.Epoch) {
	f.run(1300)
	f.name(epoch, 700)
}

var _ = Describe("quotas over 91 daemons", func() {
	for _, c := range []struct {
		name     string
		schedule func(*fleet)
	}{
		{"the usual demand", func(f *fleet) { f.run(10 * timer.Second) }},
		{"a hot account", func(f *fleet) {
			f.demand *= hot
			f.run(6500)
			f.demand /= hot
			f.run(5 * timer.Second)
		}},
		{"a hot account with slow and lost datagrams", func(f *fleet) {
			f.delay, f.loss, f.demand = 100, 0.1, f.demand*hot
			f.run(6500)
		}},
		{"a hot account while the coordinator is killed", func(f *fleet) {
			f.leaders[1].dead, f.demand = true, f.demand*hot
			f.replace(2)
			f.run(6500)
		}},
		{"a coordinator killed 1 s after an account became hot", func(f *fleet) {
			f.demand *= hot
			f.run(timer.Second)
			f.leaders[1].dead = true
			f.replace(2)
			f.run(6500)
		}},
		{"no coordinator for 8 s, as without the store", func(f *fleet) {
			f.leaders[1].dead, f.demand = true, f.demand*hot
			f.run(8 * timer.Second)
		}},
		{"a coordinator paused for 0.5 s", func(f *fleet) {
			f.leaders[1].paused, f.demand = f.now+500, f.demand*hot
			f.run(6500)
		}},
		{"a coordinator paused for 30 s that answers afterwards with its earlier epoch", func(f *fleet) {
			f.leaders[1].paused = f.now + 30*timer.Second
			f.replace(2)
			f.run(28 * timer.Second)
			f.demand *= hot
			f.run(6500)
		}},
		{"two coordinators for 2 s", func(f *fleet) {
			f.demand *= hot
			f.run(3 * timer.Second)
			f.name(2, 2*timer.Second)
			f.run(6500)
		}},
		{"half of the daemons cut off", func(f *fleet) {
			f.cutHalf()
			f.run(5 * timer.Second)
			f.demand *= hot
			f.run(6500)
		}},
		{"half of the daemons cut off while an account becomes hot", func(f *fleet) {
			f.cutHalf()
			f.demand *= hot
			f.run(6500)
		}},
		{"half of the daemons cut off while an account becomes hot, 4 s after another coordinator was named", func(f *fleet) {
			f.name(2, 1500)
			f.run(4 * timer.Second)
			f.cutHalf()
			f.demand *= hot
			f.run(6500)
		}},
		{"a third of the daemons restarted while an account is hot", func(f *fleet) {
			f.demand *= hot
			f.run(2 * timer.Second)
			for i, m := range f.members {
				if i%3 == 0 {
					f.restart(m)
				}
			}
			f.run(6500)
		}},
		{"daemons paused for 3 s while an account is hot", func(f *fleet) {
			f.demand *= hot
			f.run(2 * timer.Second)
			for i, m := range f.members {
				if i%3 == 0 {
					m.paused = f.now + 3*timer.Second
				}
			}
			f.run(6500)
		}},
	} {
		It("guards against more requests of an account than its quota allows: "+c.name, func() {
			worst := 0.0
			each(c.schedule, func(f *fleet, quota router.Quota) {
				worst = max(worst, f.most(quota, 0))
				Expect(f.most(quota, 0)).To(BeNumerically("<=", 1), "quota of %v a second", quota.PerSecond)
			})
			GinkgoWriter.Printf("at most %.2f of the allowed requests in 5 s: %s\n", worst, c.name)
		})
	}

	It("guards against a lowered quota that does not bind 5 s later", func() {
		for _, factor := range []float64{2, 10} {
			each(func(f *fleet) {
				rate := f.accounts[0].Quota.PerSecond / factor
				f.setQuota(router.Quota{PerSecond: rate, Burst: rate})
				f.run(12 * timer.Second)
			}, func(f *fleet, quota router.Quota) {
				lowered := router.Quota{PerSecond: quota.PerSecond / factor, Burst: quota.Burst / factor}
				Expect(f.most(lowered, 15*timer.Second)).To(BeNumerically("<=", 1), "quota of %v a second", quota.PerSecond)
			})
		}
	})
	It("guards against a quota that lets an account have much less than its rate", func() {
		admitted := map[float64]float64{}
		each(func(f *fleet) {
			f.demand *= hot
			f.run(20 * timer.Second)
		}, func(f *fleet, quota router.Quota) {
			admitted[quota.PerSecond] += (1 - f.refused(20*timer.Second)) * hot / 1.6 / variants
		})
		for rate, share := range admitted {
			Expect(share).To(BeNumerically(">", 0.9), "quota of %v a second", rate)
		}
	})

	// Requests within the quota are not to be refused; while something fails, accounts
	// within their quota are to be served at 0.95.
	for _, c := range []struct {
		name     string
		schedule func(*fleet)
		// most is the largest share refused, of quotas up to 25 and of those from 100.
		most float64
	}{
		{"in steady state", func(f *fleet) { f.run(20 * timer.Second) }, 0},
		{"with 5 % of the datagrams lost", func(f *fleet) {
			f.loss = 0.05
			f.run(20 * timer.Second)
		}, 0.05},
		{"in the 3 s in which a coordinator is replaced", func(f *fleet) {
			f.leaders[1].dead = true
			f.replace(2)
			f.run(1700)
		}, 0.05},
	} {
		It("guards against refusals within the quota: "+c.name, func() {
			refused, samples := map[bool]float64{}, map[bool]float64{}
			each(c.schedule, func(f *fleet, quota router.Quota) {
				large := quota.PerSecond >= 100
				refused[large] += f.refused(10 * timer.Second)
				samples[large]++
			})
			GinkgoWriter.Printf("refused %s: %.4f of small quotas, %.4f of large ones\n", c.name, refused[false]/samples[false], refused[true]/samples[true])
			Expect(refused[false] / samples[false]).To(BeNumerically("<=", c.most))
			Expect(refused[true] / samples[true]).To(BeNumerically("<=", c.most))
		})
	}
})

var _ = Describe("a coordinator", func() {
	accounts := []router.Account{{Name: "a", Quota: router.Quota{PerSecond: 10, Burst: 10}}}
	use := func(node throttler.NodeKey, sequence uint64, admitted uint32, offered float64) throttler.UseReport {
		return throttler.UseReport{Node: node, Incarnation: 1, Epoch: 3, Sequence: sequence, Uses: []throttler.Use{{
			Account: throttler.KeyOf("a"), Offered: throttler.RateOf(offered), Admitted: admitted, Held: throttler.FullShare,
		}}}
	}
	coordinator := func() *apportioner.Apportioner {
		a := apportioner.New(1000, 3)
		a.SetAccounts(1000, accounts)
		return a
	}

	It("guards against a report that is charged twice or taken from an earlier run", func() {
		a := coordinator()
		a.Use(1000, use(1, 5, 0, 20))
		for range 10 { // Repeated ones, and one that was overtaken.
			a.Use(1010, use(1, 5, 100, 20))
			a.Use(1010, use(1, 4, 200, 20))
		}
		Expect(a.Use(1020, use(1, 6, 0, 20)).Limits).To(BeEmpty())
		next := use(1, 1, 0, 12)
		next.Incarnation = 2
		a.Use(1030, next)
		a.Use(1040, use(1, 7, 500, 400))
		next.Sequence = 2
		Expect(a.Use(1050, next).Limits).To(BeEmpty())
	})
	It("guards against a new coordinator that loosens the limits that daemons hold", func() {
		a := coordinator()
		held := use(1, 9, 1000, 20)
		held.Epoch, held.Uses[0].Held = 2, throttler.ShareOf(0.25)
		Expect(a.Use(1100, held).Limits).To(ConsistOf(throttler.Limit{Account: throttler.KeyOf("a"), Share: throttler.ShareOf(0.25)}))
		Expect(a.Use(3400, use(1, 10, 1000, 8)).Limits).NotTo(BeEmpty())
		Expect(a.Use(3600, use(1, 11, 1000, 8)).Limits).To(BeEmpty())
	})
	It("guards against a daemon that is charged less because it fell silent before the growth of an account was reported", func() {
		share := func(grown timer.Millis) throttler.Share {
			a, now, admitted := apportioner.New(1000, 3), timer.Millis(1000), [2]uint32{}
			a.SetAccounts(now, []router.Account{{Name: "a", Quota: router.Quota{PerSecond: 100, Burst: 100}}})
			var grant throttler.Grant
			for sequence := uint64(1); now <= 12200; sequence++ {
				for i, offered := range []float64{15, 60} {
					if i == 1 && now >= grown {
						offered = 240
					}
					if silent := i == 0 && now > 11000; !silent {
						admitted[i] += []uint32{3, 12}[i]
						grant = a.Use(now, use(throttler.NodeKey(i), sequence, admitted[i], offered))
					}
				}
				now += 200
			}
			Expect(grant.Limits).To(HaveLen(1))
			return grant.Limits[0].Share
		}
		before := share(11200)
		Expect(before.Fraction()).To(BeNumerically(">", 0))
		for _, grown := range []timer.Millis{11600, 11800, 12000} {
			Expect(share(grown).Fraction()).To(BeNumerically("<=", before.Fraction()*1.05), "grown at %d ms", grown)
		}
	})
	It("guards against a daemon that is charged less because its coordinator has just taken over", func() {
		share := func(started timer.Millis) throttler.Share {
			a := apportioner.New(started, 3)
			a.SetAccounts(started, []router.Account{{Name: "a", Quota: router.Quota{PerSecond: 100, Burst: 100}}})
			var grant throttler.Grant
			sequence := uint64(started / 200)
			for now := started; now <= 62600; now += 200 {
				sequence++
				for i := range 2 {
					if silent := i == 0 && now > 61000; !silent {
						offered := []float64{20, 20 + 180*float64(now/61200)}[i]
						grant = a.Use(now, use(throttler.NodeKey(i), sequence, 4*uint32(sequence), offered))
					}
				}
			}
			Expect(grant.Limits).To(HaveLen(1))
			return grant.Limits[0].Share
		}
		before := share(1000)
		Expect(before.Fraction()).To(BeNumerically(">", 0))
		for _, started := range []timer.Millis{51000, 56000, 58000} {
			Expect(share(started).Fraction()).To(BeNumerically("<=", before.Fraction()*1.05), "started at %d ms", started)
		}
	})
	It("guards against a charge that depends on which of several silent daemons is noticed first", func() {
		shares := map[throttler.Share]bool{}
		for range 50 {
			a, now, grant := apportioner.New(1000, 3), timer.Millis(1000), throttler.Grant{}
			a.SetAccounts(now, []router.Account{{Name: "a", Quota: router.Quota{PerSecond: 1000, Burst: 1000}}})
			for sequence := uint64(1); now <= 12000; sequence++ {
				for i, offered := range []float64{1800, 100, 200, 300, 400, 500} {
					if silent := i > 0 && now > 11000; !silent {
						grant = a.Use(now, use(throttler.NodeKey(i), sequence, uint32(i*i)*uint32(sequence)/2, offered))
					}
				}
				now += 200
			}
			Expect(grant.Limits).To(HaveLen(1))
			shares[grant.Limits[0].Share] = true
		}
		Expect(shares).To(HaveLen(1))
	})
	It("guards against counts that overflow and against more that are returned than admitted", func() {
		a := coordinator()
		a.Use(1000, use(1, 1, math.MaxUint32-2, 12))
		Expect(a.Use(1200, use(1, 2, 2, 12)).Limits).To(BeEmpty())
		a.Use(1400, use(1, 3, 0, 12)) // Two were returned.
		Expect(a.Use(1600, use(1, 4, 60, 12)).Limits).NotTo(BeEmpty())
	})
	It("guards against an account or quota that is withdrawn but still limited", func() {
		a := coordinator()
		a.Use(1000, use(1, 1, 0, 100))
		Expect(a.Use(1200, use(1, 2, 90, 100)).Limits).NotTo(BeEmpty())
		a.SetAccounts(1300, []router.Account{{Name: "a"}})
		Expect(a.Use(1400, use(1, 3, 190, 100)).Limits).To(BeEmpty())
		a.Use(3000, use(2, 1, 0, 0)) // Daemon 1 is silent now.
	})
})

// Guards against schedules of faults, more than one at a time, in which the daemons
// together admit more than a quota allows.
func TestAnySchedule(t *testing.T) {
	tester.CheckN(t, 60, func(t *rapid.T) {
		rate := 2 * math.Pow(190.5, rapid.Float64Range(0, 1).Draw(t, "rate"))
		quota := router.Quota{PerSecond: rate, Burst: rate}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), quota, rapid.Float64Range(0.1, 3).Draw(t, "skew"))
		f.busy = rapid.Bool().Draw(t, "busy")
		f.delay, f.loss = timer.Millis(rapid.IntRange(1, 60).Draw(t, "delay")), rapid.Float64Range(0, 0.1).Draw(t, "loss")
		f.run(10 * timer.Second)
		becomesHot := f.now + timer.Millis(rapid.IntRange(0, 6000).Draw(t, "hot"))
		epoch := identifier.Epoch(1)
		for range rapid.IntRange(1, 3).Draw(t, "faults") {
			if f.now >= becomesHot {
				f.demand = rate / 1.6 * hot
			}
			some := rapid.IntRange(2, 20).Draw(t, "one of")
			switch rapid.SampledFrom([]string{"cut", "heal", "kill", "pause", "restart", "daemons pause", "two"}).Draw(t, "fault") {
			case "cut":
				for i, m := range f.members {
					m.cut = i%some == 0
				}
			case "heal":
				for _, m := range f.members {
					m.cut, m.coordinator = false, epoch
					m.SetEpoch(epoch)
				}
			case "kill":
				f.leaders[epoch].dead = true
				epoch++
				f.replace(epoch)
			case "pause":
				span := timer.Millis(rapid.IntRange(500, 30000).Draw(t, "paused"))
				f.leaders[epoch].paused = f.now + span
				if span > 1500 {
					epoch++
					f.replace(epoch)
				}
			case "restart":
				for i := 0; i < daemons; i += some {
					f.restart(f.members[i])
				}
			case "daemons pause":
				for i := 0; i < daemons; i += some {
					f.members[i].paused = f.now + timer.Millis(rapid.IntRange(100, 10000).Draw(t, "paused"))
				}
			case "two":
				epoch++
				f.name(epoch, 1500)
			}
			f.run(timer.Millis(rapid.IntRange(0, 4000).Draw(t, "until the next")))
		}
		f.demand = rate / 1.6 * hot
		f.run(6500)
		if most := f.most(quota, 0); most > 1 {
			t.Fatalf("%.2f of the requests that a quota of %.1f a second allows", most, rate)
		}
	})
}
