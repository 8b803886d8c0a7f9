package announcer_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/announcer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestAnnouncer(t *testing.T) { tester.RunSpecs(t, "announcer") }

func (d *daemon) injectFault(t *rapid.T) {
	switch rapid.IntRange(0, 7).Draw(t, "what") {
	case 0:
		d.leaving = true
		d.act(d.step(announcer.LeaveRequested{Ticket: 1}))
	case 1:
		d.stopped = true
	case 2:
		// Two watchers suspected a live daemon.
		leave := tracker.Leave{Instance: d.member.Instance, Incarnation: d.member.Incarnation}
		_ = d.cluster.append([]tracker.Record{leave})
	default:
		if !d.leaving {
			d.member.Revision++
			d.act(d.step(announcer.Announced{Member: d.member}))
		}
	}
}

// Guards against announcements that are lost with an answer, a batch or a
// reader, against a removed daemon that does not join again, and against a daemon
// that left and becomes a member again.
func TestAnnouncements(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		w := newCluster(rapid.IntRange(1, 6).Draw(t, "daemons"))
		w.fault = func() logFault { return logFault(rapid.IntRange(0, 2).Draw(t, "fault")) }
		for _, d := range w.daemons {
			d.act(d.step(announcer.Announced{Member: d.member}))
		}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(t, "daemon")].injectFault(t)
			for range 3 {
				w.runDue(timer.Millis(rapid.IntRange(1, 3000).Draw(t, "span")))
			}
		}
		w.fault = func() logFault { return noFault }
		for range 3000 {
			w.runDue(50)
		}
		for _, d := range w.daemons {
			entry, present := w.table.Lookup(d.member.Instance)
			switch {
			case d.stopped:
			case d.leaving && (present || !d.done):
				t.Fatalf("%s left: present %v, want false; leave confirmed %v, want true", d.member.Instance, present, d.done)
			case !d.leaving && entry.Member != d.member:
				t.Fatalf("%s: table has %v, announced %v", d.member.Instance, entry.Member, d.member)
			}
		}
	})
}

var _ = Describe("a failure domain of 1,200 daemons that returns at once", func() {
	cases := []struct {
		name  string
		known bool
		limit int
	}{
		{"guards against a flood of appends when no reader is known", false, 1 << 30},
		{"guards against a flood of appends when every known reader is gone", true, 1 << 30},
		{"guards against a flood of appends when the log refuses most of them", false, 50},
	}
	for _, c := range cases {
		It(c.name, func() {
			w := newCluster(1200)
			if c.known {
				var gone []tracker.Record
				for n := 1200; n < 2400; n++ {
					gone = append(gone, tracker.Join{Member: member(n)})
				}
				Expect(w.append(gone)).To(Succeed())
			}
			w.fault = func() logFault {
				recent := 0
				for i := len(w.appends) - 1; i >= 0 && w.appends[i] > w.now-timer.Second; i-- {
					recent++
				}
				if recent > c.limit {
					return refused
				}
				return noFault
			}
			for _, d := range w.daemons {
				d.act(d.step(announcer.Announced{Member: d.member}))
			}
			for range 1500 {
				w.runDue(20)
			}
			Expect(w.peak()).To(BeNumerically("<=", 400))
			for _, d := range w.daemons {
				_, present := w.table.Lookup(d.member.Instance)
				Expect(present).To(BeTrue(), "%s", d.member.Instance)
			}
			GinkgoWriter.Println("peak appends per second", w.peak(), "of", len(w.appends))
		})
	}
})

var _ = Describe("renewals", func() {
	It("guards against entries that expire although their daemon runs, and against needless renewals", func() {
		w := newCluster(20)
		for _, d := range w.daemons {
			d.act(d.step(announcer.Announced{Member: d.member}))
		}
		for end := w.now + 2*retention; w.now < end; {
			w.runDue(200)
		}
		for _, d := range w.daemons {
			times := w.renewed[d.member.Instance]
			Expect(len(times)).To(And(BeNumerically(">=", 8), BeNumerically("<=", 20)))
			for i := 1; i < len(times); i++ {
				Expect(times[i] - times[i-1]).To(BeNumerically("<=", retention/4+10*timer.Second))
			}
		}
	})
})

// lossyLog loses the answer of every second append.
type lossyLog struct {
	appender.Log
	cluster *cluster
	calls   int
}

func (l *lossyLog) Append(_ context.Context, _ appender.Stream, payload []byte) (identifier.Offset, error) {
	l.calls++
	err := l.cluster.table.Apply(l.cluster.next, payload)
	l.cluster.next++
	if l.calls%2 == 1 {
		return 0, errLost
	}
	return l.cluster.next - 1, err
}

var _ = Describe("the announcer", func() {
	It("guards against a reader that confirms records before they are in the log, or never", func() {
		clock := timer.NewManual(1000, 0)
		w := newCluster(0)
		log := &lossyLog{cluster: w}
		var suspects []tracker.Suspect
		a := announcer.New(announcer.Config{
			Log: log, Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Retention: retention,
			Status: func(identifier.Incarnation) announcer.MembershipStatus {
				return announcer.MembershipStatus{Reader: true}
			},
			OnSuspect: func(s tracker.Suspect) { suspects = append(suspects, s) },
		})
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for n := range 20 {
			group.Go(func() {
				defer GinkgoRecover()
				appended, err := a.Announce(ctx, []tracker.Record{tracker.Join{Member: member(n)}, tracker.Join{Member: member(n + 20)}})
				Expect(err).NotTo(HaveOccurred())
				Expect(appended).To(BeTrue())
			})
		}
		go func() { defer cancel(); group.Wait() }()
		for ctx.Err() == nil {
			a.RunOnce(context.Background())
			clock.Advance(50)
		}
		Expect(w.table.Len()).To(Equal(40))
		suspect := tracker.Suspect{Instance: "i-1", Incarnation: 1, Watcher: "i-2"}
		Expect(a.Announce(context.Background(), []tracker.Record{suspect})).To(BeTrue())
		Expect(suspects).To(ConsistOf(suspect))
	})
})
