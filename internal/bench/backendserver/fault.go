package backendserver

import (
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Invalid is the class of errors in a request or setting.
var Invalid = errs.Class("invalid")

// Fault is the request body of POST /faults. Absent fields change nothing.
type Fault struct {
	Clear            bool          `json:"clear,omitempty"`       // ends slowness, freeze and closing before the other fields apply
	Cold             bool          `json:"cold,omitempty"`        // makes the server cold without a new incarnation
	Drain            *bool         `json:"drain,omitempty"`       // starts or ends draining
	Crash            bool          `json:"crash,omitempty"`       // crashes immediately
	SlowFactor       *float64      `json:"slow_factor,omitempty"` // multiplies service times
	SlowForMs        timer.Millis  `json:"slow_for_ms,omitempty"` // 0 means until changed
	FreezeMs         *timer.Millis `json:"freeze_ms,omitempty"`
	CloseNext        *int          `json:"close_next,omitempty"` // number of requests whose connection is closed after reading
	CloseProbability *float64      `json:"close_probability,omitempty"`
	// SilenceConnections stops the traffic of the open connections without
	// closing them.
	SilenceConnections bool `json:"silence_connections,omitempty"`
}

// Check returns an error of class Invalid for a value out of range.
func (f Fault) Check() error {
	if f.SlowFactor != nil && *f.SlowFactor < 0 {
		return Invalid.New("slow_factor %v is negative", *f.SlowFactor)
	}
	if f.CloseProbability != nil && (*f.CloseProbability < 0 || *f.CloseProbability > 1) {
		return Invalid.New("close_probability %v is not between 0 and 1", *f.CloseProbability)
	}
	if f.SlowForMs < 0 || (f.FreezeMs != nil && *f.FreezeMs < 0) || (f.CloseNext != nil && *f.CloseNext < 0) {
		return Invalid.New("slow_for_ms, freeze_ms and close_next must not be negative")
	}
	return nil
}

// faults holds the active faults.
type faults struct {
	slowFactor       float64
	slowUntil        timer.Millis // 0 means until changed
	frozenUntil      timer.Millis
	closeNext        int
	closeProbability float64
}

func (f *faults) apply(now timer.Millis, fault Fault) {
	if fault.Clear {
		*f = faults{slowFactor: 1}
	}
	if fault.SlowFactor != nil {
		f.slowFactor, f.slowUntil = *fault.SlowFactor, 0
		if fault.SlowForMs > 0 {
			f.slowUntil = now + fault.SlowForMs
		}
	}
	if fault.FreezeMs != nil {
		f.frozenUntil = now + *fault.FreezeMs
	}
	if fault.CloseNext != nil {
		f.closeNext = *fault.CloseNext
	}
	if fault.CloseProbability != nil {
		f.closeProbability = *fault.CloseProbability
	}
}

func (f *faults) currentSlowFactor(now timer.Millis) float64 {
	if f.slowUntil != 0 && now >= f.slowUntil {
		return 1
	}
	return f.slowFactor
}
