package logserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

type (
	appendResponse struct {
		Offset identifier.Offset `json:"offset"`
	}
	recordResponse struct {
		Offset  identifier.Offset `json:"offset"`
		Payload []byte            `json:"payload"`
	}
	readResponse struct {
		Records []recordResponse  `json:"records"`
		First   identifier.Offset `json:"first"`
		Next    identifier.Offset `json:"next"`
	}
	expiredResponse struct {
		First identifier.Offset `json:"first"`
		Next  identifier.Offset `json:"next"`
	}
	errorResponse struct {
		Error string `json:"error"`
	}
	statsResponse struct {
		StoreStats
		LostAnswers uint64                          `json:"lost_answers"`
		OutageMs    timer.Millis                    `json:"outage_ms_left"`
		Streams     map[appender.Stream]StreamStats `json:"streams"`
	}
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/faults" && ctx.IsPost():
		s.handleFaults(ctx)
	case path == "/stats" && ctx.IsGet():
		s.handleStats(ctx)
	case strings.HasPrefix(path, "/streams/") && strings.HasSuffix(path, "/records"):
		s.handleRecords(ctx, path)
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no such endpoint")
	}
}

func (s *Server) handleRecords(ctx *fasthttp.RequestCtx, path string) {
	if s.applyOutage(ctx) {
		return
	}
	if delay := s.delay(); delay > 0 {
		s.sleep(delay)
		if s.applyOutage(ctx) {
			return
		}
	}
	name := appender.Stream(strings.TrimSuffix(strings.TrimPrefix(path, "/streams/"), "/records"))
	switch {
	case ctx.IsPost():
		s.handleAppend(ctx, name)
	case ctx.IsGet():
		s.handleRead(ctx, name)
	default:
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "method not allowed")
	}
}

func (s *Server) handleAppend(ctx *fasthttp.RequestCtx, name appender.Stream) {
	offset, lost, err := s.append(name, bytes.Clone(ctx.PostBody()))
	switch {
	case RateExceeded.Has(err):
		writeError(ctx, fasthttp.StatusTooManyRequests, err.Error())
	case err != nil:
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
	case lost:
		closeConnection(ctx)
	default:
		writeJSON(ctx, fasthttp.StatusOK, appendResponse{Offset: offset})
	}
}

func (s *Server) handleRead(ctx *fasthttp.RequestCtx, name appender.Stream) {
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "from is not an offset")
		return
	}
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	if limit <= 0 {
		limit = defaultReadSize
	}
	wait := min(timer.Millis(ctx.QueryArgs().GetUintOrZero("wait_ms")), maxWait)
	until := s.clock.Now() + wait
	for {
		batch, changed, err := s.read(name, identifier.Offset(from), limit)
		left := until - s.clock.Now()
		if err != nil || len(batch.Records) > 0 || left <= 0 || !s.waitForChange(changed, left) {
			writeReadResult(ctx, batch, err)
			return
		}
		if s.applyOutage(ctx) {
			return
		}
	}
}

// waitForChange waits until the stream changes or the time is over. It returns
// false if the server stops before.
func (s *Server) waitForChange(changed <-chan struct{}, span timer.Millis) bool {
	timeout := time.NewTimer(span.Duration())
	defer timeout.Stop()
	select {
	case <-changed:
		return true
	case <-timeout.C:
		return true // the stream is read once more, so that the response is current
	case <-s.stop:
		return false
	}
}

func (s *Server) sleep(span timer.Millis) {
	timeout := time.NewTimer(span.Duration())
	defer timeout.Stop()
	select {
	case <-timeout.C:
	case <-s.stop:
	}
}

// applyOutage applies an outage to a request and reports whether there was one.
func (s *Server) applyOutage(ctx *fasthttp.RequestCtx) bool {
	mode, left := s.outage()
	switch mode {
	case "":
		return false
	case OutageUnavailable:
		writeError(ctx, fasthttp.StatusServiceUnavailable, "log is unavailable")
	case OutageHang:
		s.sleep(left)
		closeConnection(ctx)
	default:
		closeConnection(ctx)
	}
	return true
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	var fault Fault
	decoder := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	decoder.DisallowUnknownFields()
	if err := errors.Join(decoder.Decode(&fault), fault.Check()); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	s.log.Info("fault", "body", string(ctx.PostBody()))
	s.apply(fault)
	writeJSON(ctx, fasthttp.StatusOK, struct{}{})
}

func (s *Server) handleStats(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	now := s.clock.Now()
	stats, streams := s.store.Stats(now)
	_, left := s.faults.Outage(now)
	lost := s.faults.LostAnswers()
	s.mu.Unlock()
	writeJSON(ctx, fasthttp.StatusOK, statsResponse{StoreStats: stats, LostAnswers: lost, OutageMs: left, Streams: streams})
}

func writeReadResult(ctx *fasthttp.RequestCtx, batch appender.Batch, err error) {
	var expired *appender.ExpiredError
	switch {
	case errors.As(err, &expired):
		writeJSON(ctx, fasthttp.StatusGone, expiredResponse{First: expired.First, Next: expired.Next})
		return
	case err != nil:
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	body := readResponse{Records: make([]recordResponse, 0, len(batch.Records)), First: batch.First, Next: batch.Next}
	for _, record := range batch.Records {
		body.Records = append(body.Records, recordResponse(record))
	}
	writeJSON(ctx, fasthttp.StatusOK, body)
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

func writeError(ctx *fasthttp.RequestCtx, status int, message string) {
	writeJSON(ctx, status, errorResponse{Error: message})
}

// writeParseError rejects a request that cannot be read, such as one with a body
// far over the record limit.
func writeParseError(ctx *fasthttp.RequestCtx, err error) {
	writeError(ctx, fasthttp.StatusBadRequest, err.Error())
}

// closeConnection closes the connection without a response.
func closeConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
