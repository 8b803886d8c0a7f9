package backendserver

import "github.com/magnoliaknot/magnoliaknot/pkg/timer"

func (m *StateMachine) arrive(now timer.Millis, arrived Arrived) []Action {
	if m.down {
		return []Action{CloseUnanswered{Number: arrived.Number}}
	}
	if m.shouldClose() {
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
	crashes := m.recordArrival()
	actions := m.startQueued(now, nil)
	if crashes && !m.down {
		return m.crash(actions, CrashCold)
	}
	return actions
}

func (m *StateMachine) shouldClose() bool {
	if m.faults.closeNext > 0 {
		m.faults.closeNext--
		return true
	}
	return m.faults.closeProbability > 0 && m.random.Float64() < m.faults.closeProbability
}

func (m *StateMachine) shed(number RequestNumber, reason ShedReason) []Action {
	m.peaks.Shed++
	return []Action{Shed{Number: number, Reason: reason}}
}

// recordArrival updates the peaks after an arrival and reports whether the
// arrival crashes a cold server.
func (m *StateMachine) recordArrival() bool {
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

// endRequest removes a request. Successful requests count towards becoming warm.
func (m *StateMachine) endRequest(now timer.Millis, number RequestNumber, succeeded bool) []Action {
	switch m.phases[number] {
	case queued:
		m.dequeue(number)
	case running:
		m.running--
	default:
		return nil
	}
	delete(m.phases, number)
	delete(m.marked, number)
	if succeeded {
		m.completed++
		m.coldLeft = max(m.coldLeft-1, 0)
	}
	return m.startQueued(now, nil)
}

func (m *StateMachine) dequeue(number RequestNumber) {
	for i, waiting := range m.queue {
		if waiting == number {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return
		}
	}
}

// startQueued starts requests in order of arrival while slots are free. A request
// with the crash marker crashes the server as soon as it starts.
func (m *StateMachine) startQueued(now timer.Millis, actions []Action) []Action {
	for len(m.queue) > 0 && m.running < int(m.config.Slots) {
		factor := m.faults.currentSlowFactor(now)
		if m.coldLeft > 0 && m.inFlight() > m.config.ColdCapacity {
			factor *= m.config.ColdSlowFactor
		}
		number := m.queue[0]
		m.queue = m.queue[1:]
		m.phases[number] = running
		m.running++
		m.peaks.Running = max(m.peaks.Running, m.running)
		actions = append(actions, Start{Number: number, ServiceTime: m.config.ServiceTime.sample(m.random, factor)})
		if m.marked[number] {
			return m.crash(actions, CrashMarked)
		}
	}
	return actions
}
