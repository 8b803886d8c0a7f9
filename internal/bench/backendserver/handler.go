package backendserver

import (
	"bytes"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/answer"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Headers of requests and responses.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderAnswerBytes = "X-Answer-Bytes"
	// HeaderRan says on a refusal whether the request ran.
	HeaderRan            = "X-Backend-Ran"
	HeaderTimeout        = "Magnoliaknot-Timeout-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const maxAnswerBytes = 16 << 20

type refusal struct {
	Request  answer.RequestID      `json:"request_id"`
	Instance identifier.InstanceID `json:"instance"`
	Error    string                `json:"error"`
	Ran      bool                  `json:"ran"`
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/health":
		s.handleHealth(ctx)
	case "/load":
		s.handleLoad(ctx)
	case "/runs":
		s.handleRuns(ctx)
	case "/faults":
		s.handleFaults(ctx)
	case "/stats":
		s.handleStats(ctx)
	default:
		s.handleWork(ctx)
	}
}

func (s *Server) handleWork(ctx *fasthttp.RequestCtx) {
	s.waitWhileFrozen()
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	if !answer.ValidText(id) {
		writeJSON(ctx, fasthttp.StatusBadRequest, refusal{Instance: s.config.Instance, Error: "invalid request id"})
		return
	}
	deadline, stop := requestDeadline(ctx)
	defer stop()
	key := identifier.IdempotencyKey(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	current := s.arrive(answer.RequestID(id), key, s.hasCrashMarker(ctx))
	for {
		select {
		case action, open := <-current.actions:
			if !open {
				closeConnection(ctx)
				return
			}
			if s.applyAction(ctx, current, action, deadline) {
				return
			}
		case <-deadline:
			s.expire(ctx, current)
			return
		}
	}
}

// applyAction applies an action to a request and reports whether the request is
// done.
func (s *Server) applyAction(ctx *fasthttp.RequestCtx, current *request, action Action, deadline <-chan time.Time) bool {
	switch a := action.(type) {
	case Start:
		s.runRequest(ctx, current, a.ServiceTime, deadline)
		return true
	case Shed:
		s.refuse(ctx, fasthttp.StatusServiceUnavailable, current, string(a.Reason), false)
		return true
	case CloseUnanswered:
		closeConnection(ctx)
		return true
	}
	return false
}

func (s *Server) runRequest(ctx *fasthttp.RequestCtx, current *request, service time.Duration, deadline <-chan time.Time) {
	if service > 0 {
		serviceTimer := time.NewTimer(service)
		defer serviceTimer.Stop()
		select {
		case <-serviceTimer.C:
		case <-deadline:
			s.expire(ctx, current)
			return
		case <-current.actions: // closed by a crash
			closeConnection(ctx)
			return
		}
	}
	s.waitWhileFrozen()
	if live, _ := s.finish(current, Finished{Number: current.number}); !live {
		closeConnection(ctx)
		return
	}
	size := min(headerInt(ctx, HeaderAnswerBytes), maxAnswerBytes)
	body := answer.Answer{Request: current.id, Instance: s.config.Instance, Checksum: answer.Sum(ctx.PostBody())}
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyRaw(answer.Append(nil, body, size))
}

// expire ends a request whose deadline has passed.
func (s *Server) expire(ctx *fasthttp.RequestCtx, current *request) {
	s.waitWhileFrozen()
	live, ran := s.finish(current, Expired{Number: current.number})
	if !live {
		closeConnection(ctx)
		return
	}
	s.refuse(ctx, fasthttp.StatusGatewayTimeout, current, "deadline", ran)
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, status int, current *request, reason string, ran bool) {
	ctx.Response.Header.Set(HeaderRan, strconv.FormatBool(ran))
	writeJSON(ctx, status, refusal{Request: current.id, Instance: s.config.Instance, Error: reason, Ran: ran})
}

func (s *Server) hasCrashMarker(ctx *fasthttp.RequestCtx) bool {
	marker := []byte(s.config.CrashMarker)
	return len(marker) > 0 && (bytes.Contains(ctx.RequestURI(), marker) || bytes.Contains(ctx.PostBody(), marker))
}

// requestDeadline returns a channel that yields when the caller's timeout is over,
// or nil if the request has no timeout header.
func requestDeadline(ctx *fasthttp.RequestCtx) (deadline <-chan time.Time, stop func()) {
	span := headerInt(ctx, HeaderTimeout)
	if span <= 0 {
		return nil, func() {}
	}
	deadlineTimer := time.NewTimer(timer.Millis(span).Duration())
	return deadlineTimer.C, func() { deadlineTimer.Stop() }
}

func headerInt(ctx *fasthttp.RequestCtx, name string) int {
	number, err := strconv.Atoi(string(ctx.Request.Header.Peek(name)))
	if err != nil {
		return 0
	}
	return number
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		status, encoded = fasthttp.StatusInternalServerError, []byte(`{"error":"answer cannot be encoded"}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// closeConnection closes the connection without a response.
func closeConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
