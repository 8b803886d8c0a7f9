// Package backendserver stands in for a backend server of the platform: slots
// and a queue, cold start, drain, shedding, crashes, and reports that lag.
//
// Machine decides what happens to a request; Server puts it behind HTTP and
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
	maxBodyBytes        = 8 << 20
	drainPoll           = 20 * timer.Millis(1)
	shutdownTimeout     = 2 * timer.Second
	incarnationLowBits  = 20
	actionsOfOneRequest = 2
	listenTries         = 100
	listenPause         = 100 * timer.Millis(1)
)

// Server runs a Machine behind HTTP.
type Server struct {
	config  Config
	clock   timer.Clock
	random  *rand.Rand
	log     *slog.Logger
	crashed chan CrashReason
	changed chan struct{} // wakes the announcer

	mu      sync.Mutex
	machine *StateMachine
	tally   *RunCounter
	next    RequestNumber
	waiting map[RequestNumber]*request
	sockets *connections
}

// request is one request inside the server. Its actions end with a close when
// the server crashes.
type request struct {
	ticket  RequestNumber
	id      answer.RequestID
	key     identifier.IdempotencyKey
	actions chan Action
}

// NewServer returns a server that is cold. The random source must not be used
// elsewhere.
func NewServer(config Config, clock timer.Clock, random *rand.Rand, log *slog.Logger) *Server {
	s := &Server{
		config: config, clock: clock, random: random, log: log,
		crashed: make(chan CrashReason, 1), changed: make(chan struct{}, 1),
		tally: NewRunCounter(), waiting: make(map[RequestNumber]*request),
	}
	s.machine = NewStateMachine(clock.Now(), config.StateMachine, s.newIncarnation(), random)
	return s
}

// Run serves until the context ends, then drains. It calls ready once, when the
// server first listens.
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
		again, err := s.serve(ctx, socket, drained)
		if !again {
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

// listen opens the listener. After a crash it tries again for some time, since
// another process may use the port for an outgoing connection meanwhile.
func (s *Server) listen(ctx context.Context, first bool) (net.Listener, error) {
	for tries := 1; ; tries++ {
		socket, err := listener.Listen(s.config.Address)
		if err == nil || first || tries == listenTries || ctx.Err() != nil {
			return socket, err
		}
		time.Sleep(listenPause.Duration())
	}
}

// serve answers requests on one listener until a crash, after which the server
// starts again, or until the drain is over.
func (s *Server) serve(ctx context.Context, socket net.Listener, drained <-chan error) (again bool, err error) {
	sockets := newConnections(socket, s.config.Connections)
	s.mu.Lock()
	s.sockets = sockets
	s.mu.Unlock()
	server := &fasthttp.Server{
		Name: "magnoliabench-backend", Handler: s.handle,
		Logger: listener.DebugLogger{Log: s.log}, MaxRequestBodySize: maxBodyBytes,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(sockets) }()
	select {
	case reason := <-s.crashed:
		s.log.Warn("crashed", "reason", string(reason))
		if !s.config.SoftCrash {
			s.config.Exit(CrashExitCode)
		}
		sockets.breakAll()
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
// no request has been in flight for some time.
func (s *Server) drain(ctx context.Context) error {
	<-ctx.Done()
	s.log.Info("draining")
	draining := true
	s.step(FaultInjected{Fault: Fault{Drain: &draining}})
	s.announceNow()
	began := s.clock.Now()
	for idleSince := began; s.clock.Now()-idleSince < s.config.DrainIdle; {
		time.Sleep(drainPoll.Duration())
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
	low := s.random.Uint64N(1 << incarnationLowBits)
	return identifier.Incarnation(uint64(s.clock.Wall())<<incarnationLowBits | low)
}

// arrive registers a request and lets the machine decide about it.
func (s *Server) arrive(id answer.RequestID, key identifier.IdempotencyKey, marked bool) *request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	arrived := &request{ticket: s.next, id: id, key: key, actions: make(chan Action, actionsOfOneRequest)}
	s.waiting[arrived.ticket] = arrived
	s.perform(s.machine.Step(s.clock.Now(), Arrived{Number: arrived.ticket, Marked: marked}))
	return arrived
}

// leave ends a request. It returns false if a crash ended it before, and
// whether the request ran.
func (s *Server) leave(ended *request, event Event) (live, ran bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	live, ran = s.machine.Live(ended.ticket), s.machine.Running(ended.ticket)
	delete(s.waiting, ended.ticket)
	s.perform(s.machine.Step(s.clock.Now(), event))
	return live, ran
}

func (s *Server) step(event Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(s.machine.Step(s.clock.Now(), event))
}

// perform passes actions to their requests. The caller holds the lock.
func (s *Server) perform(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			started := s.waiting[a.Number]
			s.tally.Add(started.id, started.key)
			started.actions <- a
		case Shed:
			s.waiting[a.Number].actions <- a
			delete(s.waiting, a.Number)
		case CloseUnanswered:
			closed := s.waiting[a.Number]
			if a.Ran {
				s.tally.Add(closed.id, closed.key)
			}
			closed.actions <- a
			delete(s.waiting, a.Number)
		case Crash:
			for ticket, ended := range s.waiting {
				close(ended.actions)
				delete(s.waiting, ticket)
			}
			s.crashed <- a.Reason
		}
	}
}

// current returns the load now, without lag.
func (s *Server) current() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Load(s.clock.Now())
}

// thaw waits while the server is frozen.
func (s *Server) thaw() {
	for {
		s.mu.Lock()
		now := s.clock.Now()
		until := s.machine.FrozenUntil(now)
		s.mu.Unlock()
		if until == 0 {
			return
		}
		// A freeze may be cleared before its end.
		time.Sleep(min(until-now, drainPoll).Duration())
	}
}

func (s *Server) announceNow() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}
