package announcer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/announcer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	retention = 20 * timer.Minute
	domain    = "aarhus"
)

var errLost = errors.New("answer lost")

// cluster is a log, its fold and the planners of one failure domain. All daemons
// share the fold.
type cluster struct {
	now     timer.Millis
	table   *tracker.Tracker
	next    identifier.Offset
	appends []timer.Millis
	// renewed holds the times of the joins and renewals of each instance.
	renewed map[identifier.InstanceID][]timer.Millis
	fault   func() logFault
	daemons []*daemon
}

type logFault int

const (
	noFault logFault = iota
	lostAnswer
	refused
)

type daemon struct {
	cluster *cluster
	planner *announcer.Planner
	member  tracker.Member
	rand    *rand.Rand
	stopped bool
	leaving bool
	done    bool
	wakeAt  timer.Millis
}

func newCluster(count int) *cluster {
	w := &cluster{
		now: 1000, table: tracker.New(tracker.Config{FailureDomain: domain, Retention: retention}),
		renewed: make(map[identifier.InstanceID][]timer.Millis), fault: func() logFault { return noFault },
	}
	for n := range count {
		d := &daemon{cluster: w, rand: rand.New(rand.NewPCG(uint64(n), 3))}
		d.planner = announcer.NewPlanner(w.now, retention, d.rand)
		d.member = member(n)
		w.daemons = append(w.daemons, d)
	}
	return w
}

func member(n int) tracker.Member {
	return tracker.Member{
		Instance: identifier.InstanceID(fmt.Sprintf("i-%d", n)), Incarnation: 1, Service: "materials", FailureDomain: domain,
		Region: "jutland", Class: "standard", Slots: 20, State: tracker.Ready,
		Peer: identifier.Address(fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250)),
	}
}

func (d *daemon) step(event announcer.Event) []announcer.Action {
	d.wakeAt = d.cluster.now
	return d.planner.Step(d.cluster.now, event)
}

func (d *daemon) status() announcer.MembershipStatus {
	t := d.cluster.table
	s := announcer.MembershipStatus{Members: t.Len(), Present: t.Present(d.member.Instance, d.member.Incarnation)}
	s.Above, s.Removed = t.Removed(d.member.Instance, d.member.Incarnation)
	if entry, ok := t.Lookup(d.member.Instance); ok {
		s.Revision, s.RenewedOffset = entry.Revision, entry.RenewedOffset
	}
	_, s.Reader = t.ReaderRank(d.member.Instance)
	for _, m := range t.Relays(domain, d.member.Instance) {
		s.Readers = append(s.Readers, m.Peer)
	}
	return s
}

// runDue runs every daemon that is due until it sleeps, then advances the clock.
func (w *cluster) runDue(span timer.Millis) {
	for _, d := range w.daemons {
		for !d.stopped && d.wakeAt <= w.now {
			d.act(d.planner.Step(w.now, announcer.Wakeup{Status: d.status()}))
		}
	}
	w.now += span
}

func (d *daemon) act(actions []announcer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case announcer.Append:
			d.act(d.step(announcer.Appended{Succeeded: d.cluster.append(a.Records) == nil}))
		case announcer.Forward:
			peer := d.cluster.find(a.Peer)
			if peer != nil {
				peer.act(peer.step(announcer.Received{Records: []tracker.Record{a.Record}}))
			}
			d.act(d.step(announcer.Forwarded{Accepted: peer != nil}))
		case announcer.RequestIncarnation:
			d.member.Incarnation, d.member.Revision = a.Above+1, 0
			d.act(d.step(announcer.IncarnationAssigned{Incarnation: a.Above + 1}))
		case announcer.Confirm:
			d.done = true
		case announcer.Sleep:
			d.wakeAt = a.Until
		}
	}
}

func (w *cluster) find(address identifier.Address) *daemon {
	for _, d := range w.daemons {
		if d.member.Peer == address && !d.stopped && d.planner.Incarnation() != 0 {
			return d
		}
	}
	return nil
}

func (w *cluster) append(records []tracker.Record) error {
	w.appends = append(w.appends, w.now)
	fault := w.fault()
	if fault == refused {
		return errLost
	}
	payload, err := tracker.EncodeBatch(records)
	if err != nil {
		return err
	}
	if err := w.table.Apply(w.next, payload); err != nil {
		return err
	}
	w.next++
	for _, r := range records {
		switch r := r.(type) {
		case tracker.Join:
			w.renewed[r.Instance] = append(w.renewed[r.Instance], w.now)
		case tracker.Renew:
			w.renewed[r.Instance] = append(w.renewed[r.Instance], w.now)
		}
	}
	if fault == lostAnswer {
		return errLost
	}
	return nil
}

// peak returns the maximum number of appends within one second.
func (w *cluster) peak() int {
	peak, from := 0, 0
	for i, at := range w.appends {
		for w.appends[from] <= at-timer.Second {
			from++
		}
		peak = max(peak, i-from+1)
	}
	return peak
}
