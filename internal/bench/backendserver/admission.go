package backendserver

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

func (m *StateMachine) arrive(now timer.Millis, arrived Arrived) []Action {
	if m.down {
		return []Action{CloseUnanswered{Number: arrived.Number}}
	}
	if m.closes() {
		return []Action{CloseUnanswered{Number: arrived.Number, Ran: true}}
	}
	if m.state(now) == Starting {
		return m.shed(arrived.Number, ShedStarting)
	}
	full := m.running >= int(m.config.Slots)
	if full && len(m.queue) >= m.config.QueueLimit {
		return m.shed(arrived.Number, ShedOverloaded)
	}
	if arrived.Marked {
		m.marked[arrived.Number] = true
	}
	m.queue = append(m.queue, arrived.Number)
	m.phases[arrived.Number] = queued
	crashes := m.observe()
	actions := m.startQueued(now, nil)
	if crashes && !m.down {
		return m.crash(actions, CrashCold)
	}
	return actions
}

func (m *StateMachine) closes() bool {
	if m.faults.closeNext > 0 {
		m.faults.closeNext--
		return true
	}
	return m.faults.closeProbability > 0 && m.random.Float64() < m.faults.closeProbability
}

func (m *StateMachine) shed(ticket RequestNumber, reason ShedReason) []Action {
	m.peaks.Shed++
	return []Action{Shed{Number: ticket, Reason: reason}}
}

// observe updates the peaks after an arrival and reports whether it is too much
// for a cold server.
func (m *StateMachine) observe() bool {
	count := m.inFlight()
	m.peaks.InFlight = max(m.peaks.InFlight, count)
	if m.coldLeft <= 0 {
		return false
	}
	m.peaks.ColdInFlight = max(m.peaks.ColdInFlight, count)
	if count > m.config.ColdCapacity {
		m.peaks.ColdExceeded++
	}
	return m.config.ColdCrashFactor > 0 && count > m.config.ColdCapacity*m.config.ColdCrashFactor
}

// end removes a ticket. Good ends count towards becoming warm.
func (m *StateMachine) end(now timer.Millis, ticket RequestNumber, good bool) []Action {
	switch m.phases[ticket] {
	case queued:
		m.dequeue(ticket)
	case running:
		m.running--
	default:
		return nil
	}
	delete(m.phases, ticket)
	delete(m.marked, ticket)
	if good {
		m.completed++
		m.coldLeft = max(m.coldLeft-1, 0)
	}
	return m.startQueued(now, nil)
}

func (m *StateMachine) dequeue(ticket RequestNumber) {
	for i, waiting := range m.queue {
		if waiting == ticket {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return
		}
	}
}

// startQueued starts requests in order of arrival while slots are free. A
// marked request crashes the server as soon as it starts.
func (m *StateMachine) startQueued(now timer.Millis, actions []Action) []Action {
	for len(m.queue) > 0 && m.running < int(m.config.Slots) {
		factor := m.faults.slowness(now)
		if m.coldLeft > 0 && m.inFlight() > m.config.ColdCapacity {
			factor *= m.config.ColdSlowFactor
		}
		ticket := m.queue[0]
		m.queue = m.queue[1:]
		m.phases[ticket] = running
		m.running++
		m.peaks.Running = max(m.peaks.Running, m.running)
		actions = append(actions, Start{Number: ticket, ServiceTime: m.config.ServiceTime.sample(m.random, factor)})
		if m.marked[ticket] {
			return m.crash(actions, CrashMarked)
		}
	}
	return actions
}
