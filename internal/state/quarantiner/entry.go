package quarantiner

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Kind is what an entry says of a fingerprint.
type Kind uint8

// Kinds of entries.
const (
	// Cleared means that the request ran alone and the backend server survived.
	Cleared Kind = iota
	// Suspect means that the request ran beside others when a server crashed.
	Suspect
	// Quarantined means that the request crashed a server on its own.
	Quarantined

	kinds
)

// String names the kind as records of the quarantine stream do.
func (k Kind) String() string {
	switch k {
	case Cleared:
		return "cleared"
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "unknown"
	}
}

// Entry says something of a fingerprint until a time in Unix ms.
type Entry struct {
	Fingerprint identifier.Fingerprint `json:"fingerprint"`
	Kind        Kind                   `json:"kind"`
	Expires     timer.Millis           `json:"expires"`
}

// Verdict is the decision on an arriving request.
type Verdict uint8

// Verdicts on an arriving request.
const (
	// Run lets the request run beside others.
	Run Verdict = iota
	// RunSolo lets the request run only when nothing else runs.
	RunSolo
	// Refuse keeps the request from running.
	Refuse
)

// String names the verdict for logs and metrics.
func (v Verdict) String() string {
	switch v {
	case RunSolo:
		return "run_solo"
	case Refuse:
		return "refuse"
	default:
		return "run"
	}
}

// times holds the latest end per kind. Taking the maximum of each makes a merge
// independent of order and repetition.
type times [kinds]timer.Millis

func (t times) verdict(wall timer.Millis) (Verdict, timer.Millis) {
	switch {
	case t[Quarantined] > wall:
		return Refuse, t[Quarantined] - wall
	case t[Suspect] > wall && t[Suspect] > t[Cleared]:
		return RunSolo, 0
	default:
		return Run, 0
	}
}

func (t times) last() timer.Millis { return max(t[Cleared], t[Suspect], t[Quarantined]) }

// less orders by the strictness of the verdict, then by the end.
func (t times) less(other times, wall timer.Millis) bool {
	v, _ := t.verdict(wall)
	w, _ := other.verdict(wall)
	if v != w {
		return v < w
	}
	return t.last() < other.last()
}
