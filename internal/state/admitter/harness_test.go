package admitter_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/classifier"
	"github.com/magnoliaknot/magnoliaknot/internal/state/fencer"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// attempt is the expected state of an attempt; drops counts the resets to the cold
// limit before its start.
type attempt struct {
	deadline                                      timer.Millis
	fingerprint                                   identifier.Fingerprint
	incarnation                                   identifier.Incarnation
	solo, decided, started, ended, reported, seen bool
	drops                                         int
}

func (a *attempt) running() bool { return a.started && !a.ended }

// harness combines an Admitter and a Fencer as their owner does and checks the
// actions against an independent model.
type harness struct {
	t        *rapid.T
	a        *admitter.Admitter
	table    *fencer.Fencer
	attempts map[identifier.AttemptID]*attempt
	sent     int

	now, last, lastTick, contact, since          timer.Millis
	limits                                       admitter.Limits
	domain                                       admitter.DomainState
	announced                                    admitter.Announce
	known, soleMember, stopping, paused, drained bool
	running, predecessor                         int
	cold                                         coldModel
}

// coldModel is an upper bound of the limit of a cold backend server. It is reset
// only by results that certainly reset the ramp, and counts every good completion
// of an attempt that started after the last reset.
type coldModel struct {
	active, raised               bool
	limit, good, failures, drops int
	stepped                      timer.Millis
}

func (w *harness) drop() {
	w.cold = coldModel{active: true, limit: w.limits.ColdLimit, stepped: w.now, drops: w.cold.drops + 1}
}

func (w *harness) limit() int {
	full := min(w.limits.MaxInFlight, int(w.announced.Slots))
	limit := min(full, max(1, int(w.domain.RampShare*float64(full))))
	if w.cold.active {
		limit = min(limit, w.cold.limit)
	}
	return limit
}

// step passes one event and checks every resulting action.
func (w *harness) step(event admitter.Event) {
	if w.last > 0 && max(w.now-w.last, w.now-w.lastTick) > timer.Second {
		w.paused, w.lastTick = true, w.now
	}
	if event == (admitter.Tick{}) {
		w.lastTick = w.now
	}
	w.last = w.now
	w.updateModel(event)
	actions := w.a.Step(w.now, event, nil)
	_, restricted := event.(admitter.Restrict)
	for _, action := range actions {
		switch v := action.(type) {
		case admitter.Start:
			w.start(v, event, restricted)
		case admitter.Refuse:
			w.refuse(v, event)
		case admitter.Drained:
			if w.drained = true; w.running > 0 || !w.draining() {
				w.t.Fatalf("drained with %d attempts running", w.running)
			}
		case admitter.BackendCrash:
			restricted = true
			for _, r := range v.Running {
				at := w.attempts[r.Attempt]
				if at.reported || at.incarnation != w.attempts[v.Running[0].Attempt].incarnation {
					w.t.Fatalf("%v was not running at this crash: %+v", r.Attempt, v)
				}
				at.reported = true
			}
			defer w.step(admitter.Restrict{Solo: true})
		}
	}
	for id, at := range w.attempts {
		if !at.decided && at.deadline <= w.now {
			w.t.Fatalf("%v has not been answered %d ms after its deadline", id, w.now-at.deadline)
		}
	}
}

func (w *harness) draining() bool { return w.stopping || w.announced.State == admitter.Draining }

// closedReason is the expected reason why no attempt may start.
func (w *harness) closedReason() classifier.Reason {
	switch {
	case w.draining():
		return classifier.Draining
	case w.domain.Out:
		return classifier.DomainOut
	case w.contact == 0 || (!w.soleMember && w.now-w.contact >= 10*timer.Second):
		return classifier.Isolated
	case w.announced.State == admitter.Unannounced:
		return classifier.Unavailable
	case !w.known:
		return classifier.ConfigBehind
	case w.announced.State == admitter.Starting:
		return classifier.Cold
	}
	return ""
}

// refuse checks the reason in the cases in which only one is valid.
func (w *harness) refuse(v admitter.Refuse, event admitter.Event) {
	at := w.attempts[v.Attempt]
	if at == nil || at.decided || v.RetryAfter <= 0 || !w.table.Refused(w.now, v.Attempt) {
		w.t.Fatalf("unexpected %+v for attempt %+v", v, at)
	}
	at.decided = true
	want := w.closedReason()
	arrival, _ := event.(admitter.Arrive)
	own := arrival.Attempt == v.Attempt && !at.seen
	if !own && at.deadline <= w.now {
		want = classifier.Deadline
	} else if own && want == "" && arrival.ConfigurationVersion > w.limits.Version {
		want = classifier.ConfigBehind
	}
	switch event.(type) {
	case admitter.Restrict, admitter.Limits, admitter.Cancel: // these have their own reasons
	default:
		if v.Reason != want && (want != "" || !own) {
			w.t.Fatalf("got %+v, want reason %q", v, want)
		}
	}
}

// updateModel updates the model before the event is passed.
func (w *harness) updateModel(event admitter.Event) {
	switch e := event.(type) {
	case admitter.Limits:
		if e.Version >= w.limits.Version {
			w.limits = e
			if w.cold.limit = max(w.cold.limit, e.ColdLimit); !w.cold.raised {
				w.cold.limit = e.ColdLimit
			}
		}
	case admitter.DomainState:
		w.domain, w.known, w.paused = e, true, false
	case admitter.Contact:
		w.contact, w.soleMember = w.now, e.SoleMember
	case admitter.Drain:
		w.stopping = true
	case admitter.Announce:
		if b := w.announced; e.Incarnation < b.Incarnation || (e.Incarnation == b.Incarnation && e.State < b.State) {
			return
		}
		if e.Incarnation > w.announced.Incarnation {
			w.predecessor, w.since = e.InFlight, w.now
			w.drop()
		}
		w.predecessor = min(w.predecessor, e.InFlight)
		w.announced = e
	case admitter.Restrict:
		for _, at := range w.attempts {
			if !at.decided && at.fingerprint == e.Fingerprint {
				at.solo = e.Solo
			}
		}
	case admitter.Complete:
		if at := w.attempts[e.Attempt]; at != nil && at.running() {
			at.ended = true
			w.running--
			w.table.Finished(w.now, e.Attempt)
			if at.incarnation == w.announced.Incarnation && !at.reported {
				w.observe(at, e.Result)
			}
		}
	}
}

func (w *harness) observe(at *attempt, result admitter.Result) {
	c := &w.cold
	switch {
	case result == admitter.Crashed || result == admitter.ConnectionRefused:
		w.drop()
	case at.drops != c.drops || result == admitter.Shed || result == admitter.TimedOut:
	case result == admitter.OK:
		c.failures = 0
		if c.good++; c.good >= w.limits.RampCompletions && w.now-c.stepped >= 500 {
			c.limit = max(c.limit+1, c.limit*3/2)
			c.good, c.stepped, c.raised = 0, w.now, true
			c.active = c.active && c.limit < int(w.announced.Slots)
		}
	default:
		if c.failures++; c.failures == 5 {
			w.drop()
		}
	}
}

func (w *harness) start(v admitter.Start, event admitter.Event, restricted bool) {
	at := w.attempts[v.Attempt]
	if at == nil || at.decided || !w.table.Started(w.now, v.Attempt) || v.Remaining <= 0 || v.Remaining != at.deadline-w.now {
		w.t.Fatalf("unexpected %+v for attempt %+v", v, at)
	}
	if w.now-w.since >= w.limits.MaxTimeout {
		w.predecessor = 0
	}
	if w.running+w.predecessor >= w.limit() {
		w.t.Fatalf("started beside %d attempts and %d requests of a previous daemon, limit %d, cold %+v", w.running, w.predecessor, w.limit(), w.cold)
	}
	arrival, _ := event.(admitter.Arrive)
	behind := arrival.Attempt == v.Attempt && arrival.ConfigurationVersion > w.limits.Version
	if restricted || behind || w.paused || w.closedReason() != "" {
		w.t.Fatalf("started while closed for %q, paused %v, restricted %v, behind %v", w.closedReason(), w.paused, restricted, behind)
	}
	for _, other := range w.attempts {
		if other.running() && (other.solo || at.solo) {
			w.t.Fatal("an attempt that must run alone ran beside another")
		}
	}
	at.decided, at.started, at.drops, at.incarnation = true, true, w.cold.drops, w.announced.Incarnation
	w.running++
}

func (w *harness) arrive(id identifier.AttemptID, remaining timer.Millis, solo bool, version identifier.Version) {
	at, verdict := w.attempts[id], w.table.Arrive(w.now, id)
	if at == nil && verdict == fencer.Admitted {
		at = &attempt{deadline: w.now + min(remaining, w.limits.MaxTimeout), solo: solo, fingerprint: identifier.Fingerprint{byte(id.Sequence % 3)}}
		w.attempts[id] = at
	} else if verdict == fencer.Admitted || (verdict == fencer.Fenced && at != nil && at.started) {
		w.t.Fatalf("verdict %v for a repeated arrival of %+v", verdict, at)
	}
	if at != nil && (at.running() || !at.decided) {
		w.step(admitter.Arrive{Attempt: id, Remaining: remaining, Solo: solo, Fingerprint: at.fingerprint, HasFingerprint: true, ConfigurationVersion: version})
		at.seen = true
	}
}

// runTicks advances time by a span in ticks.
func (w *harness) runTicks(span timer.Millis) {
	for ; span > 0; span -= 50 {
		w.now += min(span, 50)
		w.step(admitter.Tick{})
	}
}

// fence queries and fences an attempt as its sender does after a stall.
func (w *harness) fence(id identifier.AttemptID) {
	state := w.table.Fence(w.now, id)
	if state == fencer.Queued {
		w.step(admitter.Cancel{Attempt: id})
		state = w.table.Fence(w.now, id)
	}
	if at := w.attempts[id]; (at != nil && at.started) == (state == fencer.NotRun) || state == fencer.Queued {
		w.t.Fatalf("fence of %v returned %v, model is %+v", id, state, at)
	}
}

func (w *harness) randomEvent() {
	pick := func(name string, values ...int) int { return rapid.SampledFrom(values).Draw(w.t, name) }
	next := identifier.AttemptID{Origin: 1, Sequence: uint64(w.sent + 1)}
	recent := identifier.AttemptID{Origin: 1, Sequence: uint64(max(1, w.sent-rapid.IntRange(0, 11).Draw(w.t, "recent")))}
	switch pick("event", 0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 2, 3, 3, 3, 4, 4, 5, 5, 6, 6, 7, 8, 8, 8, 9, 10, 11, 12) {
	case 0:
		w.sent++
		w.arrive(next, timer.Millis(pick("remaining", 0, 20, 300, 300, 2000, 9000)), pick("solo", 0, 0, 0, 0, 1) == 1, identifier.Version(pick("version", 0, 1, 1, 1, 2, 3)))
	case 1:
		result := pick("result", 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5)
		w.step(admitter.Complete{Attempt: recent, Result: admitter.Result(result), Latency: timer.Millis(pick("latency", 0, 1, 3, 20, 400))})
	case 2:
		w.step(admitter.Cancel{Attempt: recent})
	case 3:
		w.runTicks(timer.Millis(pick("span", 1, 50, 120, 600)))
	case 4: // a pause, after which any event can come first
		w.now += timer.Millis(pick("pause", 600, 900, 900, 1001, 11000))
	case 5:
		incarnation := w.announced.Incarnation + identifier.Incarnation(pick("renewed", 1, 1, 1, 1, 2)) - identifier.Incarnation(pick("older", 1, 1, 1, 2))
		state := admitter.BackendState(pick("state", 2, 2, 2, 2, 2, 2, 2, 2, 1, 3))
		w.step(admitter.Announce{Incarnation: incarnation, Slots: identifier.Slots(pick("slots", 0, 1, 5, 5, 8, 8, 8, 8)), State: state, InFlight: pick("reported", 0, 0, 1, 4)})
	case 6:
		limits := admitter.Limits{Version: identifier.Version(pick("version", 1, 2, 2)), MaxInFlight: pick("inFlight", 1, 4, 6), MaxTimeout: 5000}
		limits.MaxQueue, limits.ColdLimit, limits.RampCompletions = pick("queue", 0, 3, 6), pick("cold", 1, 2, 3), pick("completions", 1, 3)
		w.step(limits)
	case 7:
		w.step(admitter.DomainState{Out: pick("out", 0, 0, 0, 1) == 1, RampShare: float64(pick("share", 0, 40, 100, 100)) / 100})
	case 8:
		w.step(admitter.DomainState{RampShare: 1})
		w.step(admitter.Contact{SoleMember: pick("alone", 0, 0, 0, 0, 1) == 1})
	case 9:
		w.arrive(recent, 500, false, 0)
	case 10:
		f := identifier.Fingerprint{byte(pick("fingerprint", 0, 1, 2))}
		w.step(admitter.Restrict{Fingerprint: f, Solo: pick("solo", 0, 1) == 1, Refuse: pick("refuse", 0, 0, 1) == 1, TimeLeft: 1000})
	case 11:
		w.fence(rapid.SampledFrom([]identifier.AttemptID{recent, next}).Draw(w.t, "fenced"))
	case 12:
		if w.sent > 50 {
			w.step(admitter.Drain{})
		}
	}
}

// Guards against starts above the limit or the cold limit, while drained, out of
// service, isolated or after a pause; against a second answer to an attempt, a
// missing answer after its deadline, not_run for a started attempt, a start of a
// fenced one, and attempts running beside one that must run alone. Events are
// random, repeated, late and reordered, with pauses.
func TestAdmission(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		w := &harness{t: t, a: admitter.New(), table: fencer.New(fencer.Config{}), now: 1, lastTick: 1, attempts: map[identifier.AttemptID]*attempt{}}
		w.step(admitter.Limits{Version: 1, MaxInFlight: 6, MaxQueue: 5, ColdLimit: 2, RampCompletions: 3, MaxTimeout: 5000})
		for range 250 {
			w.randomEvent()
		}
		w.runTicks(6 * timer.Second)
		for id := range w.attempts {
			w.step(admitter.Complete{Attempt: id})
		}
		if w.draining() && !w.drained {
			t.Fatal("drain did not end")
		}
	})
}
