// Package logserver simulates the platform's append-only log: streams of records
// with offsets from 0, limited retention, a limited append rate, and faults on
// demand. Everything is in memory.
//
// Store and ActiveFaults are state machines; Server exposes them over HTTP.
//
// # Usage
//
//	server := logserver.NewServer(config, timer.NewSystem(), random, logger)
//	go server.Serve(socket)
//	...
//	server.Shutdown()
package logserver

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/listener"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error classes of this package.
var (
	Error = errs.Class("log server")
	// Invalid is the class of errors in a request.
	Invalid = errs.Class("invalid")
	// RateExceeded is the class of appends refused because of the rate limit.
	RateExceeded = errs.Class("rate exceeded")
)

const (
	shutdownTimeout = 5 * timer.Second
	maxWait         = timer.Minute
	// Bodies over the record limit by up to this margin are read completely, so
	// that the client can send them to the end and read the error response.
	bodyMarginBytes = 1 << 20
)

// Server serves the HTTP interface of the log.
type Server struct {
	clock timer.Clock
	log   *slog.Logger
	http  *fasthttp.Server
	stop  chan struct{}

	mu      sync.Mutex
	store   *Store
	faults  *ActiveFaults
	changed map[appender.Stream]chan struct{} // closed at the next append or fault
}

// NewServer returns a server with an empty store.
func NewServer(config StoreConfig, clock timer.Clock, random *rand.Rand, log *slog.Logger) *Server {
	s := &Server{
		clock: clock, log: log, stop: make(chan struct{}),
		store: NewStore(config), faults: NewActiveFaults(random),
		changed: make(map[appender.Stream]chan struct{}),
	}
	s.http = &fasthttp.Server{
		Name:               "magnoliabench-log",
		Handler:            s.handle,
		Logger:             listener.DebugLogger{Log: log},
		ErrorHandler:       writeParseError,
		MaxRequestBodySize: config.MaxRecordBytes + bodyMarginBytes,
	}
	return s
}

// Serve handles requests until Shutdown.
func (s *Server) Serve(socket net.Listener) error { return Error.Wrap(s.http.Serve(socket)) }

// Shutdown ends waiting reads, lets running requests finish and stops the server.
func (s *Server) Shutdown() error {
	close(s.stop)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout.Duration())
	defer cancel()
	return Error.Wrap(s.http.ShutdownWithContext(ctx))
}

// append stores a record and reports whether its answer must be lost.
func (s *Server) append(name appender.Stream, payload []byte) (offset identifier.Offset, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset, err = s.store.Append(s.clock.Now(), name, payload)
	if err != nil {
		return 0, false, err
	}
	s.notifyReaders(name)
	return offset, s.faults.LoseAnswer(), nil
}

// read returns records or, if there are none, a channel that is closed when there
// may be some.
func (s *Server) read(name appender.Stream, from identifier.Offset, limit int) (appender.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch, err := s.store.Read(s.clock.Now(), name, from, limit)
	if err != nil || len(batch.Records) > 0 {
		return batch, nil, err
	}
	if s.changed[name] == nil {
		s.changed[name] = make(chan struct{})
	}
	return batch, s.changed[name], nil
}

// notifyReaders wakes the waiting reads of a stream. The caller must hold the
// lock.
func (s *Server) notifyReaders(name appender.Stream) {
	if waiting := s.changed[name]; waiting != nil {
		close(waiting)
		delete(s.changed, name)
	}
}

func (s *Server) apply(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Apply(s.clock.Now(), fault)
	if fault.Expire != nil {
		s.store.Expire(fault.Expire.Stream, fault.Expire.Keep)
	}
	// Waiting reads check the faults again, so that an outage applies to them.
	for name := range s.changed {
		s.notifyReaders(name)
	}
}

func (s *Server) outage() (OutageMode, timer.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage(s.clock.Now())
}

func (s *Server) delay() timer.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Delay(s.clock.Now())
}
