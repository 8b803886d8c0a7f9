package quarantiner

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Kind is the status that an entry gives a fingerprint.
type Kind uint8

// Kinds of entries.
const (
	// Cleared means that the request ran alone and the backend server survived.
	Cleared Kind = iota
	// Suspect means that the request ran beside others when a server crashed.
	Suspect
	// Quarantined means that the request crashed a server on its own.
	Quarantined

	kindCount
)

// String returns the name of the kind as used in records of the quarantine stream.
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

// Entry assigns a kind to a fingerprint until Expires, in Unix ms.
type Entry struct {
	Fingerprint identifier.Fingerprint `json:"fingerprint"`
	Kind        Kind                   `json:"kind"`
	Expires     timer.Millis           `json:"expires"`
}

// Verdict is the decision on an arriving request.
type Verdict uint8

// Verdicts on an arriving request.
const (
	// Run allows the request to run beside others.
	Run Verdict = iota
	// RunSolo allows the request to run only while no other request runs.
	RunSolo
	// Refuse does not allow the request to run.
	Refuse
)

// String returns the name of the verdict in logs and metrics.
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

// expiries holds the latest expiry per kind. As a merge takes the maximum of each,
// it is independent of order and repetition.
type expiries [kindCount]timer.Millis

func (t expiries) verdict(wall timer.Millis) (Verdict, timer.Millis) {
	switch {
	case t[Quarantined] > wall:
		return Refuse, t[Quarantined] - wall
	case t[Suspect] > wall && t[Suspect] > t[Cleared]:
		return RunSolo, 0
	default:
		return Run, 0
	}
}

func (t expiries) last() timer.Millis { return max(t[Cleared], t[Suspect], t[Quarantined]) }

// less orders by the strictness of the verdict, then by the last expiry.
func (t expiries) less(other expiries, wall timer.Millis) bool {
	v, _ := t.verdict(wall)
	w, _ := other.verdict(wall)
	if v != w {
		return v < w
	}
	return t.last() < other.last()
}
