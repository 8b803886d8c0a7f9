package backendserver_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/backendserver"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestBackendServer(t *testing.T) { tester.RunSpecs(t, "backend server") }

const warmService = 10 * time.Millisecond

func drawConfig(t *rapid.T) backendserver.StateMachineConfig {
	return backendserver.StateMachineConfig{
		Slots:       identifier.Slots(rapid.Int32Range(1, 6).Draw(t, "slots")),
		QueueLimit:  rapid.IntRange(0, 5).Draw(t, "queue"),
		ServiceTime: backendserver.ServiceTime{Distribution: backendserver.Fixed, Median: warmService},
		ReportLag:   timer.Millis(rapid.IntRange(0, 50).Draw(t, "lag")),
	}
}

func newStateMachine(now timer.Millis, config backendserver.StateMachineConfig) *backendserver.StateMachine {
	return backendserver.NewStateMachine(now, config, 1, rand.New(rand.NewPCG(1, 2)))
}

// slotModel is a reference model of the slots and the queue.
type slotModel struct {
	config  backendserver.StateMachineConfig
	running []backendserver.RequestNumber
	queue   []backendserver.RequestNumber
}

func (s *slotModel) arrive(number backendserver.RequestNumber) (shed bool) {
	if len(s.running) == int(s.config.Slots) && len(s.queue) == s.config.QueueLimit {
		return true
	}
	s.queue = append(s.queue, number)
	return false
}

func (s *slotModel) end(number backendserver.RequestNumber) {
	same := func(other backendserver.RequestNumber) bool { return other == number }
	s.running = slices.DeleteFunc(s.running, same)
	s.queue = slices.DeleteFunc(s.queue, same)
}

func (s *slotModel) start() (started []backendserver.RequestNumber) {
	for len(s.queue) > 0 && len(s.running) < int(s.config.Slots) {
		started = append(started, s.queue[0])
		s.running = append(s.running, s.queue[0])
		s.queue = s.queue[1:]
	}
	return started
}

// Guards against more running requests than slots, a queue that is not FIFO, a
// leaked slot, and a shed request that runs.
func TestStateMachineSlots(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		machine, model := newStateMachine(1, config), slotModel{config: config}
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now, number := timer.Millis(1+i), backendserver.RequestNumber(i+1)
			var event backendserver.Event
			var want []backendserver.Action
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				event = backendserver.Arrived{Number: number}
				if model.arrive(number) {
					want = append(want, backendserver.Shed{Number: number, Reason: backendserver.ShedOverloaded})
				}
			case 2:
				ended := backendserver.RequestNumber(rapid.IntRange(1, i+1).Draw(t, "finished"))
				event = backendserver.Finished{Number: ended}
				model.end(ended)
			case 3:
				ended := backendserver.RequestNumber(rapid.IntRange(1, i+1).Draw(t, "expired"))
				event = backendserver.Expired{Number: ended}
				model.end(ended)
			}
			for _, started := range model.start() {
				want = append(want, backendserver.Start{Number: started, ServiceTime: warmService})
			}
			if got := machine.Step(now, event); !slices.Equal(got, want) {
				t.Fatalf("event %+v gave actions %+v, want %+v", event, got, want)
			}
			load := machine.Load(now)
			if load.Running != len(model.running) || load.Queued != len(model.queue) {
				t.Fatalf("load is %+v, want %+v", load, model)
			}
		}
	})
}

// Guards against a cold server that takes more than its capacity without slowing
// down or crashing, that never becomes warm, or that becomes warm early.
func TestStateMachineCold(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		config.Slots, config.QueueLimit = 100, 0
		config.ColdCompletions = rapid.IntRange(1, 10).Draw(t, "completions")
		config.ColdCapacity = rapid.IntRange(1, 4).Draw(t, "capacity")
		config.ColdCrashFactor = rapid.IntRange(2, 4).Draw(t, "crash factor")
		config.ColdSlowFactor = 5
		machine := newStateMachine(1, config)
		good, inFlight := 0, 0
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now, number := timer.Millis(i+1), backendserver.RequestNumber(i+1)
			if inFlight > 0 && rapid.Bool().Draw(t, "ends") {
				ended := backendserver.RequestNumber(rapid.IntRange(1, i).Draw(t, "ended"))
				if machine.Live(ended) {
					good++
					inFlight--
				}
				machine.Step(now, backendserver.Finished{Number: ended})
				continue
			}
			inFlight++
			cold := good < config.ColdCompletions
			want := backendserver.Start{Number: number, ServiceTime: warmService}
			if cold && inFlight > config.ColdCapacity {
				want.ServiceTime *= 5
			}
			actions := machine.Step(now, backendserver.Arrived{Number: number})
			if actions[0] != want {
				t.Fatalf("request %d of %d in flight got %+v, want %+v", number, inFlight, actions, want)
			}
			if crashes := cold && inFlight > config.ColdCapacity*config.ColdCrashFactor; crashes != (len(actions) == 2) {
				t.Fatalf("missing or unexpected crash with %d in flight and %d completions: actions %+v", inFlight, good, actions)
			} else if crashes {
				machine.Step(now, backendserver.Restarted{Incarnation: 2})
				good, inFlight = 0, 0
			}
			if machine.Load(now).Cold != (good < config.ColdCompletions) {
				t.Fatalf("load is %+v after %d completions", machine.Load(now), good)
			}
		}
	})
}

// Guards against reported loads that are newer or older than the lag.
func TestStateMachineLag(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		config.StartingFor = timer.Millis(rapid.IntRange(0, 40).Draw(t, "starting"))
		machine := newStateMachine(1, config)
		past := []backendserver.Load{machine.Load(1), machine.Load(1)}
		for i := range rapid.IntRange(1, 200).Draw(t, "time") {
			now, number := timer.Millis(i+2), backendserver.RequestNumber(i+1)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				machine.Step(now, backendserver.Arrived{Number: number})
			case 1:
				machine.Step(now, backendserver.Finished{Number: backendserver.RequestNumber(rapid.IntRange(1, i+1).Draw(t, "ended"))})
			case 2:
				drain := rapid.Bool().Draw(t, "drain")
				machine.Step(now, backendserver.FaultInjected{Fault: backendserver.Fault{Drain: &drain}})
			}
			past = append(past, machine.Load(now))
			want := past[max(now-config.ReportLag, 1)]
			if got := machine.Reported(now); got != want {
				t.Fatalf("reported %+v at %d with lag %d, want %+v", got, now, config.ReportLag, want)
			}
		}
	})
}

// Guards against a freeze or slowness that does not end, and against noise that
// pauses longer than its bound.
func TestStateMachinePauses(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		config.Slots = 1000
		config.NoiseEvery = timer.Millis(rapid.IntRange(1, 20).Draw(t, "every"))
		config.NoiseMax = timer.Millis(rapid.IntRange(1, 9).Draw(t, "most"))
		machine := newStateMachine(1, config)
		factor, freeze := 3.0, timer.Millis(rapid.IntRange(0, 100).Draw(t, "freeze"))
		span := timer.Millis(rapid.IntRange(1, 100).Draw(t, "slow"))
		machine.Step(1, backendserver.FaultInjected{Fault: backendserver.Fault{SlowFactor: &factor, SlowForMs: span, FreezeMs: &freeze}})
		for now := timer.Millis(1); now < 200; now++ {
			until := machine.FrozenUntil(now)
			if now < 1+freeze && until < 1+freeze {
				t.Fatalf("frozen until %d at %d, want at least %d", until, now, 1+freeze)
			}
			if until > max(1+freeze, now+config.NoiseMax) {
				t.Fatalf("paused until %d at %d, longer than the freeze and the longest pause", until, now)
			}
			want := warmService
			if now < 1+span {
				want *= 3
			}
			number := backendserver.RequestNumber(now)
			if got := machine.Step(now, backendserver.Arrived{Number: number}); got[0] != (backendserver.Start{Number: number, ServiceTime: want}) {
				t.Fatalf("got %+v at %d, want service %v", got, now, want)
			}
		}
	})
}
