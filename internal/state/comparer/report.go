package comparer

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// timeBuckets is the number of buckets of a Histogram. Bucket n counts the run times from
// 2^(n/2) to below 2^((n+1)/2) ms; the first one also counts shorter and the last one
// longer runs.
const timeBuckets = 28

// Histogram counts runs by their time at the usual speed of the VM.
type Histogram [timeBuckets]uint32

// RouteCounts are the runs on one route that have ended.
type RouteCounts struct {
	Route string `json:"route"`
	// Runs counts all runs, Failed those without a good answer.
	Runs   uint64 `json:"runs"`
	Failed uint64 `json:"failed"`
	// Times counts the good runs that did not begin on a cold backend server.
	Times Histogram `json:"times"`
}

// Report is the state of an instance and what it has counted since its daemon saw the
// order. A report with a higher Sequence replaces an earlier one of the incarnation.
type Report struct {
	Node        identifier.InstanceID     `json:"node"`
	Incarnation identifier.Incarnation    `json:"incarnation"`
	Sequence    uint64                    `json:"sequence"`
	Service     identifier.ServiceName    `json:"service"`
	Version     identifier.ServiceVersion `json:"version"`
	// Target and Phase are those of the roll-out as the instance's daemon knows it.
	Target identifier.ServiceVersion `json:"target"`
	Phase  router.RolloutPhase       `json:"phase"`
	Halted bool                      `json:"halted,omitempty"`
	// Accepting says that the instance takes attempts if the roll-out allows it.
	Accepting bool             `json:"accepting,omitempty"`
	Cold      bool             `json:"cold,omitempty"`
	Slots     identifier.Slots `json:"slots"`
	// Running counts the attempts that run, IdleForMs is the time since the last start.
	Running   int32         `json:"running"`
	IdleForMs timer.Millis  `json:"idle_for_ms"`
	Routes    []RouteCounts `json:"routes,omitempty"`
}

// Run is an ended run on a backend server.
type Run struct {
	Failed bool
	// Duration is the time of the run, SlowdownPercent that of work on the VM when it
	// began; 100 and 0 are as usual.
	Duration        timer.Millis
	SlowdownPercent int32
	// Cold says that the backend server was cold when the run began.
	Cold bool
}
