package logserver

import (
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// OutageMode says how the log behaves during an outage.
type OutageMode string

// Modes of an outage.
const (
	OutageClose       OutageMode = "close"       // the request is read, then the connection closes
	OutageUnavailable OutageMode = "unavailable" // answers 503
	OutageHang        OutageMode = "hang"        // no answer until the outage ends, then the connection closes
)

// Fault is the request body of POST /faults. Absent fields change nothing.
type Fault struct {
	Clear           bool          `json:"clear,omitempty"` // ends all faults before the other fields apply
	OutageMs        *timer.Millis `json:"outage_ms,omitempty"`
	OutageMode      OutageMode    `json:"outage_mode,omitempty"` // default close
	SlowMs          *timer.Millis `json:"slow_ms,omitempty"`
	SlowForMs       timer.Millis  `json:"slow_for_ms,omitempty"` // 0 means until changed
	LoseProbability *float64      `json:"lose_probability,omitempty"`
	LoseNext        *int          `json:"lose_next,omitempty"`
	Expire          *Expiry       `json:"expire,omitempty"`
}

// Expiry drops records immediately: all but the newest Keep of one stream, or of
// every stream if the name is empty.
type Expiry struct {
	Stream appender.Stream `json:"stream,omitempty"`
	Keep   int             `json:"keep,omitempty"`
}

// Check returns an error of class Invalid for a value out of range.
func (f Fault) Check() error {
	switch f.OutageMode {
	case "", OutageClose, OutageUnavailable, OutageHang:
	default:
		return Invalid.New("outage_mode %q is not close, unavailable or hang", f.OutageMode)
	}
	if f.LoseProbability != nil && (*f.LoseProbability < 0 || *f.LoseProbability > 1) {
		return Invalid.New("lose_probability %v is not between 0 and 1", *f.LoseProbability)
	}
	if (f.OutageMs != nil && *f.OutageMs < 0) || (f.SlowMs != nil && *f.SlowMs < 0) ||
		f.SlowForMs < 0 || (f.LoseNext != nil && *f.LoseNext < 0) || (f.Expire != nil && f.Expire.Keep < 0) {
		return Invalid.New("outage_ms, slow_ms, slow_for_ms, lose_next and expire.keep must not be negative")
	}
	return nil
}

// ActiveFaults holds the faults that are active. It is not safe for concurrent
// use.
type ActiveFaults struct {
	random          *rand.Rand
	outageUntil     timer.Millis
	mode            OutageMode
	slow            timer.Millis
	slowUntil       timer.Millis // 0 means until changed
	loseProbability float64
	loseNext        int
	lost            uint64
}

// NewActiveFaults returns an ActiveFaults without any fault.
func NewActiveFaults(random *rand.Rand) *ActiveFaults { return &ActiveFaults{random: random} }

// Apply activates a fault. The expiry of records is left to the Store.
func (f *ActiveFaults) Apply(now timer.Millis, fault Fault) {
	if fault.Clear {
		*f = ActiveFaults{random: f.random, lost: f.lost}
	}
	if fault.OutageMs != nil {
		f.outageUntil = now + *fault.OutageMs
		f.mode = fault.OutageMode
		if f.mode == "" {
			f.mode = OutageClose
		}
	}
	if fault.SlowMs != nil {
		f.slow, f.slowUntil = *fault.SlowMs, 0
		if fault.SlowForMs > 0 {
			f.slowUntil = now + fault.SlowForMs
		}
	}
	if fault.LoseProbability != nil {
		f.loseProbability = *fault.LoseProbability
	}
	if fault.LoseNext != nil {
		f.loseNext = *fault.LoseNext
	}
}

// Outage returns the mode and the time left of the active outage, or an empty
// mode.
func (f *ActiveFaults) Outage(now timer.Millis) (OutageMode, timer.Millis) {
	if now >= f.outageUntil {
		return "", 0
	}
	return f.mode, f.outageUntil - now
}

// Delay returns how long a request must wait before it takes effect.
func (f *ActiveFaults) Delay(now timer.Millis) timer.Millis {
	if f.slowUntil != 0 && now >= f.slowUntil {
		return 0
	}
	return f.slow
}

// LoseAnswer decides whether the answer of an append that took effect is lost.
func (f *ActiveFaults) LoseAnswer() bool {
	lose := f.loseNext > 0
	if lose {
		f.loseNext--
	} else {
		lose = f.loseProbability > 0 && f.random.Float64() < f.loseProbability
	}
	if lose {
		f.lost++
	}
	return lose
}

// LostAnswers returns how many answers were lost.
func (f *ActiveFaults) LostAnswers() uint64 { return f.lost }
