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

// attempt is the expected state of an attempt; resets counts the resets to the cold
// limit before its start.
type attempt struct {
	deadline                                      timer.Millis
	fingerprint                                   identifier.Fingerprint
	incarnation                                   identifier.Incarnation
	solo, decided, started, ended, reported, seen bool
	resets                                        int
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

	now, last, lastTick, lastContact, announcedAt      timer.Millis
	limits                                             admitter.Limits
	domain                                             admitter.DomainState
	announced                                          admitter.Announce
	domainKnown, soleMember, stopping, paused, drained bool
	running, predecessor                               int
	cold                                               coldModel
}

// coldModel is an upper bound of the limit of a cold backend server. It is reset
// only by results that certainly reset the ramp, and counts every good completion
// of an attempt that started after the last reset.
type coldModel struct {
	active, raised                bool
	limit, good, failures, resets int
	stepStart                     timer.Millis
}

func (h *harness) resetCold() {
	h.cold = coldModel{active: true, limit: h.limits.ColdLimit, stepStart: h.now, resets: h.cold.resets + 1}
}

func (h *harness) limit() int {
	full := min(h.limits.MaxInFlight, int(h.announced.Slots))
	limit := min(full, max(1, int(h.domain.RampShare*float64(full))))
	if h.cold.active {
		limit = min(limit, h.cold.limit)
	}
	return limit
}

// step passes one event and checks every resulting action.
func (h *harness) step(event admitter.Event) {
	if h.last > 0 && max(h.now-h.last, h.now-h.lastTick) > timer.Second {
		h.paused, h.lastTick = true, h.now
	}
	if event == (admitter.Tick{}) {
		h.lastTick = h.now
	}
	h.last = h.now
	h.updateModel(event)
	actions := h.a.Step(h.now, event, nil)
	_, restricted := event.(admitter.Restrict)
	for _, action := range actions {
		switch v := action.(type) {
		case admitter.Start:
			h.start(v, event, restricted)
		case admitter.Refuse:
			h.refuse(v, event)
		case admitter.Drained:
			if h.drained = true; h.running > 0 || !h.draining() {
				h.t.Fatalf("drained with %d attempts running", h.running)
			}
		case admitter.BackendCrash:
			restricted = true
			for _, r := range v.Running {
				at := h.attempts[r.Attempt]
				if at.reported || at.incarnation != h.attempts[v.Running[0].Attempt].incarnation {
					h.t.Fatalf("%v was not running at this crash: %+v", r.Attempt, v)
				}
				at.reported = true
			}
			defer h.step(admitter.Restrict{Solo: true})
		}
	}
	for id, at := range h.attempts {
		if !at.decided && at.deadline <= h.now {
			h.t.Fatalf("%v has not been answered %d ms after its deadline", id, h.now-at.deadline)
		}
	}
}

func (h *harness) draining() bool { return h.stopping || h.announced.State == admitter.Draining }

// closedReason is the expected reason why no attempt may start.
func (h *harness) closedReason() classifier.Reason {
	switch {
	case h.draining():
		return classifier.Draining
	case h.domain.Out:
		return classifier.DomainOut
	case h.lastContact == 0 || (!h.soleMember && h.now-h.lastContact >= 10*timer.Second):
		return classifier.Isolated
	case h.announced.State == admitter.Unannounced:
		return classifier.Unavailable
	case !h.domainKnown:
		return classifier.ConfigBehind
	case h.announced.State == admitter.Starting:
		return classifier.Cold
	}
	return ""
}

// refuse checks the reason in the cases in which only one is valid.
func (h *harness) refuse(v admitter.Refuse, event admitter.Event) {
	at := h.attempts[v.Attempt]
	if at == nil || at.decided || v.RetryAfter <= 0 || !h.table.Refused(h.now, v.Attempt) {
		h.t.Fatalf("unexpected %+v for attempt %+v", v, at)
	}
	at.decided = true
	want := h.closedReason()
	arrival, _ := event.(admitter.Arrive)
	own := arrival.Attempt == v.Attempt && !at.seen
	if !own && at.deadline <= h.now {
		want = classifier.Deadline
	} else if own && want == "" && arrival.ConfigurationVersion > h.limits.Version {
		want = classifier.ConfigBehind
	}
	switch event.(type) {
	case admitter.Restrict, admitter.Limits, admitter.Cancel: // these have their own reasons
	default:
		if v.Reason != want && (want != "" || !own) {
			h.t.Fatalf("got %+v, want reason %q", v, want)
		}
	}
}

// updateModel updates the model before the event is passed.
func (h *harness) updateModel(event admitter.Event) {
	switch e := event.(type) {
	case admitter.Limits:
		if e.Version >= h.limits.Version {
			h.limits = e
			if h.cold.limit = max(h.cold.limit, e.ColdLimit); !h.cold.raised {
				h.cold.limit = e.ColdLimit
			}
		}
	case admitter.DomainState:
		h.domain, h.domainKnown, h.paused = e, true, false
	case admitter.Contact:
		h.lastContact, h.soleMember = h.now, e.SoleMember
	case admitter.Drain:
		h.stopping = true
	case admitter.Announce:
		if b := h.announced; e.Incarnation < b.Incarnation || (e.Incarnation == b.Incarnation && e.State < b.State) {
			return
		}
		if e.Incarnation > h.announced.Incarnation {
			h.predecessor, h.announcedAt = e.InFlight, h.now
			h.resetCold()
		}
		h.predecessor = min(h.predecessor, e.InFlight)
		h.announced = e
	case admitter.Restrict:
		for _, at := range h.attempts {
			if !at.decided && at.fingerprint == e.Fingerprint {
				at.solo = e.Solo
			}
		}
	case admitter.Complete:
		if at := h.attempts[e.Attempt]; at != nil && at.running() {
			at.ended = true
			h.running--
			h.table.Finished(h.now, e.Attempt)
			if at.incarnation == h.announced.Incarnation && !at.reported {
				h.observe(at, e.Result)
			}
		}
	}
}

func (h *harness) observe(at *attempt, result admitter.Result) {
	c := &h.cold
	switch {
	case result == admitter.Crashed || result == admitter.ConnectionRefused:
		h.resetCold()
	case at.resets != c.resets || result == admitter.Shed || result == admitter.TimedOut:
	case result == admitter.OK:
		c.failures = 0
		if c.good++; c.good >= h.limits.RampCompletions && h.now-c.stepStart >= 500 {
			c.limit = max(c.limit+1, c.limit*3/2)
			c.good, c.stepStart, c.raised = 0, h.now, true
			c.active = c.active && c.limit < int(h.announced.Slots)
		}
	default:
		if c.failures++; c.failures == 5 {
			h.resetCold()
		}
	}
}

func (h *harness) start(v admitter.Start, event admitter.Event, restricted bool) {
	at := h.attempts[v.Attempt]
	if at == nil || at.decided || !h.table.Started(h.now, v.Attempt) || v.Remaining <= 0 || v.Remaining != at.deadline-h.now {
		h.t.Fatalf("unexpected %+v for attempt %+v", v, at)
	}
	if h.now-h.announcedAt >= h.limits.MaxTimeout {
		h.predecessor = 0
	}
	if h.running+h.predecessor >= h.limit() {
		h.t.Fatalf("started beside %d attempts and %d requests of a previous daemon, limit %d, cold %+v", h.running, h.predecessor, h.limit(), h.cold)
	}
	arrival, _ := event.(admitter.Arrive)
	behind := arrival.Attempt == v.Attempt && arrival.ConfigurationVersion > h.limits.Version
	if restricted || behind || h.paused || h.closedReason() != "" {
		h.t.Fatalf("started while closed for %q, paused %v, restricted %v, behind %v", h.closedReason(), h.paused, restricted, behind)
	}
	for _, other := range h.attempts {
		if other.running() && (other.solo || at.solo) {
			h.t.Fatal("an attempt that must run alone ran beside another")
		}
	}
	at.decided, at.started, at.resets, at.incarnation = true, true, h.cold.resets, h.announced.Incarnation
	h.running++
}

func (h *harness) arrive(id identifier.AttemptID, remaining timer.Millis, solo bool, version identifier.Version) {
	at, verdict := h.attempts[id], h.table.Arrive(h.now, id)
	if at == nil && verdict == fencer.Admitted {
		at = &attempt{deadline: h.now + min(remaining, h.limits.MaxTimeout), solo: solo, fingerprint: identifier.Fingerprint{byte(id.Sequence % 3)}}
		h.attempts[id] = at
	} else if verdict == fencer.Admitted || (verdict == fencer.Fenced && at != nil && at.started) {
		h.t.Fatalf("verdict %v for a repeated arrival of %+v", verdict, at)
	}
	if at != nil && (at.running() || !at.decided) {
		h.step(admitter.Arrive{Attempt: id, Remaining: remaining, Solo: solo, Fingerprint: at.fingerprint, HasFingerprint: true, ConfigurationVersion: version})
		at.seen = true
	}
}

// runTicks advances time by a span in ticks.
func (h *harness) runTicks(span timer.Millis) {
	for ; span > 0; span -= 50 {
		h.now += min(span, 50)
		h.step(admitter.Tick{})
	}
}

// fence queries and fences an attempt as its sender does after a stall.
func (h *harness) fence(id identifier.AttemptID) {
	state := h.table.Fence(h.now, id)
	if state == fencer.Queued {
		h.step(admitter.Cancel{Attempt: id})
		state = h.table.Fence(h.now, id)
	}
	if at := h.attempts[id]; (at != nil && at.started) == (state == fencer.NotRun) || state == fencer.Queued {
		h.t.Fatalf("fence of %v returned %v, model is %+v", id, state, at)
	}
}

func (h *harness) randomEvent() {
	pick := func(name string, values ...int) int { return rapid.SampledFrom(values).Draw(h.t, name) }
	next := identifier.AttemptID{Origin: 1, Sequence: uint64(h.sent + 1)}
	recent := identifier.AttemptID{Origin: 1, Sequence: uint64(max(1, h.sent-rapid.IntRange(0, 11).Draw(h.t, "recent")))}
	switch pick("event", 0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 2, 3, 3, 3, 4, 4, 5, 5, 6, 6, 7, 8, 8, 8, 9, 10, 11, 12) {
	case 0:
		h.sent++
		h.arrive(next, timer.Millis(pick("remaining", 0, 20, 300, 300, 2000, 9000)), pick("solo", 0, 0, 0, 0, 1) == 1, identifier.Version(pick("version", 0, 1, 1, 1, 2, 3)))
	case 1:
		result := pick("result", 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5)
		h.step(admitter.Complete{Attempt: recent, Result: admitter.Result(result), Latency: timer.Millis(pick("latency", 0, 1, 3, 20, 400))})
	case 2:
		h.step(admitter.Cancel{Attempt: recent})
	case 3:
		h.runTicks(timer.Millis(pick("span", 1, 50, 120, 600)))
	case 4: // a pause, after which any event can come first
		h.now += timer.Millis(pick("pause", 600, 900, 900, 1001, 11000))
	case 5:
		incarnation := h.announced.Incarnation + identifier.Incarnation(pick("renewed", 1, 1, 1, 1, 2)) - identifier.Incarnation(pick("older", 1, 1, 1, 2))
		state := admitter.BackendState(pick("state", 2, 2, 2, 2, 2, 2, 2, 2, 1, 3))
		h.step(admitter.Announce{Incarnation: incarnation, Slots: identifier.Slots(pick("slots", 0, 1, 5, 5, 8, 8, 8, 8)), State: state, InFlight: pick("reported", 0, 0, 1, 4)})
	case 6:
		limits := admitter.Limits{Version: identifier.Version(pick("version", 1, 2, 2)), MaxInFlight: pick("inFlight", 1, 4, 6), MaxTimeout: 5000}
		limits.MaxQueue, limits.ColdLimit, limits.RampCompletions = pick("queue", 0, 3, 6), pick("cold", 1, 2, 3), pick("completions", 1, 3)
		h.step(limits)
	case 7:
		h.step(admitter.DomainState{Out: pick("out", 0, 0, 0, 1) == 1, RampShare: float64(pick("share", 0, 40, 100, 100)) / 100})
	case 8:
		h.step(admitter.DomainState{RampShare: 1})
		h.step(admitter.Contact{SoleMember: pick("alone", 0, 0, 0, 0, 1) == 1})
	case 9:
		h.arrive(recent, 500, false, 0)
	case 10:
		f := identifier.Fingerprint{byte(pick("fingerprint", 0, 1, 2))}
		h.step(admitter.Restrict{Fingerprint: f, Solo: pick("solo", 0, 1) == 1, Refuse: pick("refuse", 0, 0, 1) == 1, TimeLeft: 1000})
	case 11:
		h.fence(rapid.SampledFrom([]identifier.AttemptID{recent, next}).Draw(h.t, "fenced"))
	case 12:
		if h.sent > 50 {
			h.step(admitter.Drain{})
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
		h := &harness{t: t, a: admitter.New(), table: fencer.New(fencer.Config{}), now: 1, lastTick: 1, attempts: map[identifier.AttemptID]*attempt{}}
		h.step(admitter.Limits{Version: 1, MaxInFlight: 6, MaxQueue: 5, ColdLimit: 2, RampCompletions: 3, MaxTimeout: 5000})
		for range 250 {
			h.randomEvent()
		}
		h.runTicks(6 * timer.Second)
		for id := range h.attempts {
			h.step(admitter.Complete{Attempt: id})
		}
		if h.draining() && !h.drained {
			t.Fatal("drain did not end")
		}
	})
}
