// Package comparer decides whether a new version of a service is worse than the old one,
// from the answers of both in the same time.
package comparer

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Window is the length of the time that is compared. SinceOrder means all runs.
type Window = timer.Millis

// SinceOrder is the window of all runs since the order.
const SinceOrder Window = 0

// Config names the versions to compare.
type Config struct {
	Service identifier.ServiceName
	// Target is the new version; all others are compared with it.
	Target identifier.ServiceVersion
}

// Comparer holds the reports of the instances of one service.
type Comparer struct{ config Config }

// New returns a Comparer without reports.
func New(config Config) *Comparer { return &Comparer{config: config} }

// Observe takes in a report. Reports may be lost, late and repeated.
func (c *Comparer) Observe(now timer.Millis, r Report) {}

// BeginStep starts the collection of evidence for the next step.
func (c *Comparer) BeginStep(now timer.Millis) {}

// Verdict compares the versions.
func (c *Comparer) Verdict(now timer.Millis) Verdict { return Verdict{} }
