package generator

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/answer"
	"github.com/magnoliaknot/magnoliaknot/internal/bench/backendserver"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Headers of the system under test.
const (
	headerOutcome = "Magnoliaknot-Outcome"
	headerReason  = "Magnoliaknot-Reason"
	headerService = "Magnoliaknot-Service"
)

const (
	dialTimeout     = 5 * timer.Second
	maxConnsPerHost = 1 << 20
)

var dialFailed = errs.Class("dial")

// target is an address with an HTTP client that never retries.
type target struct {
	address identifier.Address
	client  *fasthttp.HostClient
}

func newTarget(address identifier.Address, config Config) *target {
	return &target{address: address, client: &fasthttp.HostClient{
		Addr:                      string(address),
		MaxConns:                  maxConnsPerHost,
		MaxIdleConnDuration:       config.IdleTimeout.Duration(),
		MaxResponseBodySize:       2 * maxAnswerBytes,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DialTimeout: func(addr string, timeout time.Duration) (net.Conn, error) {
			if timeout <= 0 {
				timeout = dialTimeout.Duration()
			}
			conn, err := net.DialTimeout("tcp", addr, timeout)
			return conn, dialFailed.Wrap(err)
		},
	}}
}

// sender sends requests one after the other and reuses its buffers.
type sender struct {
	run      *run
	request  fasthttp.Request
	response fasthttp.Response
	body     []byte
}

// send makes one attempt and classifies its outcome.
func (s *sender) send(a arrival, to *target) (Outcome, Reason) {
	kind := s.run.config.Plan[a.kind]
	s.prepare(a, kind, to)
	limit := kind.TimeoutMs + s.run.config.Grace
	err := to.client.DoTimeout(&s.request, &s.response, limit.Duration())
	if err != nil {
		return s.classifyError(err)
	}
	return s.classifyAnswer(a, kind)
}

func (s *sender) prepare(a arrival, kind RequestKind, to *target) {
	s.request.Reset()
	s.response.Reset()
	header := &s.request.Header
	header.SetMethod(kind.Method)
	s.request.SetRequestURI("http://" + string(to.address) + kind.Path)
	if kind.Host != "" {
		s.request.UseHostHeader = true
		header.SetHost(kind.Host)
	}
	header.Set(backendserver.HeaderRequestID, string(a.request))
	header.Set(backendserver.HeaderTimeout, strconv.FormatInt(int64(kind.TimeoutMs), 10))
	if kind.Service != "" {
		header.Set(headerService, string(kind.Service))
	}
	if a.key != "" {
		header.Set(backendserver.HeaderIdempotencyKey, string(a.key))
	}
	if kind.AnswerBytes > 0 {
		header.Set(backendserver.HeaderAnswerBytes, strconv.Itoa(kind.AnswerBytes))
	}
	if s.run.config.NewConnections {
		s.request.SetConnectionClose()
	}
	s.body = appendBody(s.body[:0], a.request, kind)
	s.request.SetBodyRaw(s.body)
}

// appendBody fills a body with repeated request ids, so that bodies and their
// checksums differ, or with one letter if all bodies must be the same.
func appendBody(body []byte, request answer.RequestID, kind RequestKind) []byte {
	pattern := string(request) + " "
	if kind.FixedBody {
		pattern = "x"
	}
	for left := kind.BodyBytes; left > 0; left -= len(pattern) {
		body = append(body, pattern[:min(left, len(pattern))]...)
	}
	return body
}

func (s *sender) classifyError(err error) (Outcome, Reason) {
	var timeout interface{ Timeout() bool }
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	switch {
	case dialFailed.Has(err) || errors.Is(err, fasthttp.ErrNoFreeConns):
		return Unsent, ReasonDial
	case timedOut:
		return Unknown, ReasonClientTimeout
	case s.response.Header.ContentLength() != 0:
		// The header was read, so the connection broke within the body.
		return Partial, ReasonBroken
	case errors.Is(err, fasthttp.ErrConnectionClosed):
		return Unknown, ReasonClosed
	}
	return Unknown, ReasonTransport
}

func (s *sender) classifyAnswer(a arrival, kind RequestKind) (Outcome, Reason) {
	status := s.response.StatusCode()
	reason := Reason(s.response.Header.Peek(headerReason))
	outcome := Outcome(s.response.Header.Peek(headerOutcome))
	if a.via == Direct {
		outcome, reason = s.directOutcome(status)
	}
	switch {
	case outcome == NotRun || outcome == Unknown:
		return outcome, reason
	case outcome != Complete:
		return Unknown, "no_outcome_" + statusReason(status)
	case status != fasthttp.StatusOK:
		return Failed, statusReason(status)
	case kind.Method == fasthttp.MethodHead:
		return Complete, ""
	}
	want := answer.Expected{Request: a.request, Checksum: answer.Sum(s.body), Size: kind.AnswerBytes}
	err := answer.Check(s.response.Body(), want)
	switch {
	case answer.Wrong.Has(err):
		s.run.logBadAnswer(a, err)
		return Wrong, ""
	case err != nil:
		s.run.logBadAnswer(a, err)
		return Partial, ""
	}
	return Complete, ""
}

// directOutcome derives an outcome from the answer of a backend server, which has
// no outcome header.
func (s *sender) directOutcome(status int) (Outcome, Reason) {
	if status == fasthttp.StatusOK {
		return Complete, ""
	}
	if string(s.response.Header.Peek(backendserver.HeaderRan)) == "false" {
		return NotRun, statusReason(status)
	}
	return Unknown, statusReason(status)
}

func statusReason(status int) Reason { return Reason("status_" + strconv.Itoa(status)) }
