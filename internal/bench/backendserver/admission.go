package backendserver

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

func (m *Machine) arrive(now timer.Millis, arrived Arrived) []Action {
	if m.down {
		return []Action{CloseUnanswered{Ticket: arrived.Ticket}}
	}
	if m.closes() {
		return []Action{CloseUnanswered{Ticket: arrived.Ticket, Ran: true}}
	}
	if m.state(now) == Starting {
		return m.shed(arrived.Ticket, ShedStarting)
	}
	full := m.running >= int(m.config.Slots)
	if full && len(m.queue) >= m.config.QueueLimit {
		return m.shed(arrived.Ticket, ShedOverloaded)
	}
	if arrived.Marked {
		m.marked[arrived.Ticket] = true
	}
	m.queue = append(m.queue, arrived.Ticket)
	m.phases[arrived.Ticket] = queued
	crashes := m.observe()
	actions := m.startQueued(now, nil)
	if crashes && !m.down {
		return m.crash(actions, CrashCold)
	}
	return actions
}

func (m *Machine) closes() bool {
	if m.faults.closeNext > 0 {
		m.faults.closeNext--
		return true
	}
	return m.faults.closeProbability > 0 && m.random.Float64() < m.faults.closeProbability
}

func (m *Machine) shed(ticket Ticket, reason ShedReason) []Action {
	m.peaks.Shed++
	return []Action{Shed{Ticket: ticket, Reason: reason}}
}

// observe updates the peaks after an arrival and reports whether it is too much
// for a cold server.
func (m *Machine) observe() bool {
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
func (m *Machine) end(now timer.Millis, ticket Ticket, good bool) []Action {
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

func (m *Machine) dequeue(ticket Ticket) {
	for i, waiting := range m.queue {
		if waiting == ticket {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return
		}
	}
}

// startQueued starts requests in order of arrival while slots are free. A
// marked request crashes the server as soon as it starts.
func (m *Machine) startQueued(now timer.Millis, actions []Action) []Action {
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
		actions = append(actions, Start{Ticket: ticket, Service: m.config.Service.sample(m.random, factor)})
		if m.marked[ticket] {
			return m.crash(actions, CrashMarked)
		}
	}
	return actions
}
