package backendserver

import (
	"bytes"
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"
)

type (
	stats struct {
		Load
		Peaks
		Connections        int    `json:"connections"`
		RefusedConnections uint64 `json:"refused_connections"`
	}
	runCount struct {
		ID       string `json:"id"`
		Requests int    `json:"requests"`
		Keys     int    `json:"keys"`
	}
	faultError struct {
		Error string `json:"error"`
	}
)

// handleHealth answers 200 while the reported state is ready, else 503.
func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	reported := s.reported()
	status := fasthttp.StatusOK
	if reported.State != Ready {
		status = fasthttp.StatusServiceUnavailable
	}
	answerJSON(ctx, status, struct {
		State State `json:"state"`
	}{reported.State})
}

func (s *Server) handleLoad(ctx *fasthttp.RequestCtx) {
	answerJSON(ctx, fasthttp.StatusOK, s.reported())
}

func (s *Server) reported() Load {
	s.thaw()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Reported(s.clock.Now())
}

// handleRuns answers the run counts. DELETE forgets the counts and the peaks.
func (s *Server) handleRuns(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	arguments := ctx.QueryArgs()
	switch {
	case ctx.IsDelete():
		s.tally = NewRunCounter()
		s.machine.ResetPeaks()
		answerJSON(ctx, fasthttp.StatusOK, struct{}{})
	case arguments.Has("id"):
		count := runCount{ID: string(arguments.Peek("id"))}
		count.Requests, count.Keys = s.tally.Count(count.ID)
		answerJSON(ctx, fasthttp.StatusOK, count)
	default:
		least := 2
		if arguments.GetBool("all") {
			least = 1
		}
		runs := s.tally.Runs(least, string(arguments.Peek("prefix")))
		runs.Instance, runs.Peaks = s.config.Instance, s.machine.Peaks()
		answerJSON(ctx, fasthttp.StatusOK, runs)
	}
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	var fault Fault
	decoder := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	decoder.DisallowUnknownFields()
	if err := errors.Join(decoder.Decode(&fault), fault.Check()); err != nil || !ctx.IsPost() {
		message := "method not allowed"
		if err != nil {
			message = err.Error()
		}
		answerJSON(ctx, fasthttp.StatusBadRequest, faultError{message})
		return
	}
	s.log.Info("fault", "body", string(ctx.PostBody()))
	if fault.SilenceConnections {
		s.mu.Lock()
		s.sockets.silence(ctx.Conn())
		s.mu.Unlock()
	}
	s.step(FaultInjected{Fault: fault})
	s.announceNow()
	answerJSON(ctx, fasthttp.StatusOK, struct{}{})
}

func (s *Server) handleStats(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := stats{Load: s.machine.Load(s.clock.Now()), Peaks: s.machine.Peaks()}
	current.Connections, current.RefusedConnections = s.sockets.counts()
	answerJSON(ctx, fasthttp.StatusOK, current)
}
