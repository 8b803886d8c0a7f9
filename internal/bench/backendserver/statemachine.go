package backendserver

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Peaks holds the largest numbers of concurrent requests, and the counts of cold
// overload, shed requests and crashes. In flight means running or queued.
type Peaks struct {
	InFlight     int    `json:"max_in_flight"`
	Running      int    `json:"max_running"`
	ColdInFlight int    `json:"max_cold_in_flight"`
	ColdExceeded uint64 `json:"cold_exceeded"` // arrivals over the cold capacity
	Shed         uint64 `json:"shed"`
	Crashes      uint64 `json:"crashes"`
}

type phase int

const (
	queued phase = iota + 1
	running
)

// StateMachine decides which requests of a backend server run, are queued, are
// shed or crash the server. It is not safe for concurrent use.
type StateMachine struct {
	config      StateMachineConfig
	random      *rand.Rand
	incarnation identifier.Incarnation
	down        bool
	draining    bool
	readyAt     timer.Millis
	faults      faults
	noise       noise
	phases      map[RequestNumber]phase
	marked      map[RequestNumber]bool
	queue       []RequestNumber
	running     int
	coldLeft    int
	completed   uint64
	history     history
	peaks       Peaks
}

// NewStateMachine returns the state machine of a cold server that starts now.
func NewStateMachine(now timer.Millis, config StateMachineConfig, incarnation identifier.Incarnation, random *rand.Rand) *StateMachine {
	m := &StateMachine{
		config: config, random: random, faults: faults{slowFactor: 1},
		noise:   noise{random: random, meanInterval: config.NoiseEvery, maxPause: config.NoiseMax},
		history: history{lag: config.ReportLag},
	}
	m.restart(now, incarnation)
	return m
}

// Step applies an event. Events of requests that have ended are ignored.
func (m *StateMachine) Step(now timer.Millis, event Event) []Action {
	m.recordReady(now)
	var actions []Action
	switch e := event.(type) {
	case Arrived:
		actions = m.arrive(now, e)
	case Finished:
		actions = m.endRequest(now, e.Number, true)
	case Expired:
		actions = m.endRequest(now, e.Number, false)
	case FaultInjected:
		actions = m.apply(now, e.Fault)
	case Restarted:
		m.restart(now, e.Incarnation)
	}
	m.history.record(now, m.Load(now))
	return actions
}

// Live reports whether a request is queued or running.
func (m *StateMachine) Live(number RequestNumber) bool { return m.phases[number] != 0 }

// Running reports whether a request is running.
func (m *StateMachine) Running(number RequestNumber) bool { return m.phases[number] == running }

// Load returns the current load.
func (m *StateMachine) Load(now timer.Millis) Load {
	return Load{
		State: m.state(now), Incarnation: m.incarnation, Slots: m.config.Slots,
		Running: m.running, Queued: len(m.queue), InFlight: m.inFlight(),
		Cold: m.coldLeft > 0, Completed: m.completed,
	}
}

// Reported returns the load that was current one report lag ago.
func (m *StateMachine) Reported(now timer.Millis) Load {
	m.recordReady(now)
	return m.history.at(now)
}

// Peaks returns the peaks since the creation or the last reset.
func (m *StateMachine) Peaks() Peaks { return m.peaks }

// ResetPeaks sets the peaks to zero.
func (m *StateMachine) ResetPeaks() { m.peaks = Peaks{} }

// FrozenUntil returns the end of the current freeze or pause, or zero if there is
// none.
func (m *StateMachine) FrozenUntil(now timer.Millis) timer.Millis {
	until := max(m.faults.frozenUntil, m.noise.pausedUntil(now))
	if until <= now {
		return 0
	}
	return until
}

func (m *StateMachine) state(now timer.Millis) State {
	switch {
	case m.down:
		return Down
	case m.draining:
		return Draining
	case now < m.readyAt:
		return Starting
	}
	return Ready
}

// recordReady records the change from starting to ready, which happens without an
// event.
func (m *StateMachine) recordReady(now timer.Millis) {
	if now >= m.readyAt && m.history.last() < m.readyAt {
		m.history.record(m.readyAt, m.Load(m.readyAt))
	}
}

func (m *StateMachine) inFlight() int { return m.running + len(m.queue) }

func (m *StateMachine) restart(now timer.Millis, incarnation identifier.Incarnation) {
	m.incarnation = incarnation
	m.down, m.draining = false, false
	m.readyAt = now + m.config.StartingFor
	m.faults.frozenUntil = 0
	m.coldLeft = m.config.ColdCompletions
	m.completed = 0
	m.clearRequests()
	m.history.record(now, m.Load(now))
}

func (m *StateMachine) clearRequests() {
	m.phases = make(map[RequestNumber]phase)
	m.marked = make(map[RequestNumber]bool)
	m.queue, m.running = nil, 0
}

func (m *StateMachine) apply(now timer.Millis, fault Fault) []Action {
	m.faults.apply(now, fault)
	if fault.Cold {
		m.coldLeft = m.config.ColdCompletions
	}
	if fault.Drain != nil {
		m.draining = *fault.Drain
	}
	if fault.Crash && !m.down {
		return m.crash(nil, CrashFault)
	}
	return nil
}

func (m *StateMachine) crash(actions []Action, reason CrashReason) []Action {
	m.down = true
	m.peaks.Crashes++
	m.clearRequests()
	return append(actions, Crash{Reason: reason})
}
