// Package promoter decides on the steps and phases of a service's roll-out.
package promoter

import (
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Config describes the service. Zero fields take their default.
type Config struct {
	Service identifier.ServiceName
	// ExposureShare is the share of all requests that a bad version may get; 0.05 by
	// default.
	ExposureShare float64
}

// Promoter decides on the roll-outs of one service.
type Promoter struct{ config Config }

// New returns a Promoter that knows of no order.
func New(config Config) *Promoter { return &Promoter{config: config} }

// Step handles one event and returns the actions to carry out, in order.
func (p *Promoter) Step(now timer.Millis, event Event) []Action { return nil }
