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

// handleHealth answers 200 if the reported state is ready and 503 otherwise.
func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	reported := s.reported()
	status := fasthttp.StatusOK
	if reported.State != Ready {
		status = fasthttp.StatusServiceUnavailable
	}
	writeJSON(ctx, status, struct {
		State State `json:"state"`
	}{reported.State})
}

func (s *Server) handleLoad(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, fasthttp.StatusOK, s.reported())
}

func (s *Server) reported() Load {
	s.waitWhileFrozen()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Reported(s.clock.Now())
}

// handleRuns returns the run counts. DELETE resets the counts and the peaks.
func (s *Server) handleRuns(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	arguments := ctx.QueryArgs()
	switch {
	case ctx.IsDelete():
		s.runs = NewRunCounter()
		s.machine.ResetPeaks()
		writeJSON(ctx, fasthttp.StatusOK, struct{}{})
	case arguments.Has("id"):
		count := runCount{ID: string(arguments.Peek("id"))}
		count.Requests, count.Keys = s.runs.Count(count.ID)
		writeJSON(ctx, fasthttp.StatusOK, count)
	default:
		minRuns := 2
		if arguments.GetBool("all") {
			minRuns = 1
		}
		runs := s.runs.Runs(minRuns, string(arguments.Peek("prefix")))
		runs.Instance, runs.Peaks = s.config.Instance, s.machine.Peaks()
		writeJSON(ctx, fasthttp.StatusOK, runs)
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
		writeJSON(ctx, fasthttp.StatusBadRequest, faultError{message})
		return
	}
	s.log.Info("fault", "body", string(ctx.PostBody()))
	if fault.SilenceConnections {
		s.mu.Lock()
		s.connections.silence(ctx.Conn())
		s.mu.Unlock()
	}
	s.step(FaultInjected{Fault: fault})
	s.announceNow()
	writeJSON(ctx, fasthttp.StatusOK, struct{}{})
}

func (s *Server) handleStats(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := stats{Load: s.machine.Load(s.clock.Now()), Peaks: s.machine.Peaks()}
	current.Connections, current.RefusedConnections = s.connections.counts()
	writeJSON(ctx, fasthttp.StatusOK, current)
}
