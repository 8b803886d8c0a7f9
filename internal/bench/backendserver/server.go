// Package backendserver simulates a backend server of the platform: slots and a
// queue, cold start, draining, load shedding, crashes, and load reports that lag.
//
// StateMachine decides what happens to a request; Server exposes it over HTTP and
// counts every run.
//
// # Usage
//
//	server := backendserver.NewServer(config, timer.NewSystem(), random, logger)
//	err := server.Run(ctx, func(address net.Addr) { ... })
package backendserver

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/answer"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/listener"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("backend server")

// CrashExitCode is the exit code of a hard crash.
const CrashExitCode = 3

const (
	maxBodyBytes          = 8 << 20
	pollInterval          = 20 * timer.Millis(1)
	shutdownTimeout       = 2 * timer.Second
	incarnationRandomBits = 20
	maxActionsPerRequest  = 2
	maxListenAttempts     = 100
	listenRetryDelay      = 100 * timer.Millis(1)
)

// Server runs a StateMachine behind HTTP.
type Server struct {
	config       Config
	clock        timer.Clock
	random       *rand.Rand
	log          *slog.Logger
	crashed      chan CrashReason
	stateChanged chan struct{} // wakes the announcer

	mu          sync.Mutex
	machine     *StateMachine
	runs        *RunCounter
	next        RequestNumber
	pending     map[RequestNumber]*request
	connections *connections
}

// request is a request in the server. Its actions channel is closed when the
// server crashes.
type request struct {
	number  RequestNumber
	id      answer.RequestID
	key     identifier.IdempotencyKey
	actions chan Action
}

// NewServer returns a cold server. The random source must not be used elsewhere.
func NewServer(config Config, clock timer.Clock, random *rand.Rand, log *slog.Logger) *Server {
	s := &Server{
		config: config, clock: clock, random: random, log: log,
		crashed: make(chan CrashReason, 1), stateChanged: make(chan struct{}, 1),
		runs: NewRunCounter(), pending: make(map[RequestNumber]*request),
	}
	s.machine = NewStateMachine(clock.Now(), config.StateMachine, s.newIncarnation(), random)
	return s
}

// Run handles requests until the context ends, then drains. It calls ready once,
// when the server first listens.
func (s *Server) Run(ctx context.Context, ready func(net.Addr)) error {
	announcer, err := newAnnouncer(s)
	if err != nil {
		return err
	}
	announcing, stopAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAnnouncing()
	drained := make(chan error, 1)
	go func() { drained <- s.drain(ctx) }()
	for first := true; ; first = false {
		socket, err := s.listen(ctx, first)
		if err != nil {
			return err
		}
		if first {
			s.config.Address = identifier.Address(socket.Addr().String())
			ready(socket.Addr())
			go announcer.run(announcing)
		}
		listenAgain, err := s.serve(ctx, socket, drained)
		if !listenAgain {
			return err
		}
		select {
		case <-time.After(s.config.SoftCrashFor.Duration()):
		case <-ctx.Done():
			return nil
		}
		s.restart()
	}
}

// listen opens the listener. After a crash it retries for some time, since
// another process may have taken the port for an outgoing connection meanwhile.
func (s *Server) listen(ctx context.Context, first bool) (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		socket, err := listener.Listen(s.config.Address)
		if err == nil || first || attempt == maxListenAttempts || ctx.Err() != nil {
			return socket, err
		}
		time.Sleep(listenRetryDelay.Duration())
	}
}

// serve handles requests on one listener until a crash or until the drain is
// over. listenAgain tells the caller to restart the server after a crash.
func (s *Server) serve(ctx context.Context, socket net.Listener, drained <-chan error) (listenAgain bool, err error) {
	connections := newConnections(socket, s.config.Connections)
	s.mu.Lock()
	s.connections = connections
	s.mu.Unlock()
	server := &fasthttp.Server{
		Name: "magnoliabench-backend", Handler: s.handle,
		Logger: listener.DebugLogger{Log: s.log}, MaxRequestBodySize: maxBodyBytes,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(connections) }()
	select {
	case reason := <-s.crashed:
		s.log.Warn("crashed", "reason", string(reason))
		if !s.config.SoftCrash {
			s.config.Exit(CrashExitCode)
		}
		connections.closeAll()
		return ctx.Err() == nil, nil
	case err := <-served:
		return false, Error.Wrap(err)
	case err := <-drained:
		timeout, cancel := context.WithTimeout(context.Background(), shutdownTimeout.Duration())
		defer cancel()
		return false, Error.Wrap(errs.Combine(err, server.ShutdownWithContext(timeout)))
	}
}

// drain waits for the end of the context, announces draining and returns when
// no request has been in flight for the time DrainIdle.
func (s *Server) drain(ctx context.Context) error {
	<-ctx.Done()
	s.log.Info("draining")
	draining := true
	s.step(FaultInjected{Fault: Fault{Drain: &draining}})
	s.announceNow()
	began := s.clock.Now()
	for idleSince := began; s.clock.Now()-idleSince < s.config.DrainIdle; {
		time.Sleep(pollInterval.Duration())
		if s.current().InFlight > 0 {
			idleSince = s.clock.Now()
		}
		if s.clock.Now()-began > s.config.DrainMax {
			return Error.New("requests still in flight after %d ms of draining", s.config.DrainMax)
		}
	}
	return nil
}

func (s *Server) restart() {
	s.step(Restarted{Incarnation: s.newIncarnation()})
	s.log.Info("restarted", "incarnation", uint64(s.current().Incarnation))
	s.announceNow()
}

func (s *Server) newIncarnation() identifier.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	low := s.random.Uint64N(1 << incarnationRandomBits)
	return identifier.Incarnation(uint64(s.clock.Wall())<<incarnationRandomBits | low)
}

// arrive registers a request and passes it to the state machine.
func (s *Server) arrive(id answer.RequestID, key identifier.IdempotencyKey, marked bool) *request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	arrived := &request{number: s.next, id: id, key: key, actions: make(chan Action, maxActionsPerRequest)}
	s.pending[arrived.number] = arrived
	s.deliver(s.machine.Step(s.clock.Now(), Arrived{Number: arrived.number, Marked: marked}))
	return arrived
}

// finish ends a request. live is false if a crash has already ended the request;
// ran says whether it was running.
func (s *Server) finish(ended *request, event Event) (live, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	live, ran = s.machine.Live(ended.number), s.machine.Running(ended.number)
	delete(s.pending, ended.number)
	s.deliver(s.machine.Step(s.clock.Now(), event))
	return live, ran
}

func (s *Server) step(event Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.machine.Step(s.clock.Now(), event))
}

// deliver sends actions to their requests. The caller must hold the lock.
func (s *Server) deliver(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			started := s.pending[a.Number]
			s.runs.Add(started.id, started.key)
			started.actions <- a
		case Shed:
			s.pending[a.Number].actions <- a
			delete(s.pending, a.Number)
		case CloseUnanswered:
			closed := s.pending[a.Number]
			if a.Ran {
				s.runs.Add(closed.id, closed.key)
			}
			closed.actions <- a
			delete(s.pending, a.Number)
		case Crash:
			for number, ended := range s.pending {
				close(ended.actions)
				delete(s.pending, number)
			}
			s.crashed <- a.Reason
		}
	}
}

// current returns the current load, without the report lag.
func (s *Server) current() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Load(s.clock.Now())
}

// waitWhileFrozen blocks until the server is not frozen.
func (s *Server) waitWhileFrozen() {
	for {
		s.mu.Lock()
		now := s.clock.Now()
		until := s.machine.FrozenUntil(now)
		s.mu.Unlock()
		if until == 0 {
			return
		}
		// A freeze may be cleared before its end.
		time.Sleep(min(until-now, pollInterval).Duration())
	}
}

func (s *Server) announceNow() {
	select {
	case s.stateChanged <- struct{}{}:
	default:
	}
}
