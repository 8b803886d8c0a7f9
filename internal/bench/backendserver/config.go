package backendserver

import (
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// StateMachineConfig sets the capacity and behaviour of a StateMachine.
type StateMachineConfig struct {
	Slots      identifier.Slots
	QueueLimit int // requests beyond the slots; more are shed

	ServiceTime ServiceTime

	ColdCompletions int // successful completions until warm
	ColdCapacity    int // requests in flight that a cold server handles unharmed
	ColdSlowFactor  float64
	ColdCrashFactor int // more requests in flight than this times ColdCapacity crash a cold server

	StartingFor timer.Millis // time in state starting after each start

	NoiseEvery timer.Millis // mean time between pauses; 0 means none
	NoiseMax   timer.Millis // longest pause

	ReportLag timer.Millis // age of the reported values
}

// Distribution names a distribution of service times.
type Distribution string

// Distributions of service times.
const (
	Fixed     Distribution = "fixed"
	Lognormal Distribution = "lognormal"
)

// ServiceTime describes how long a request runs. Median is the fixed time or
// the median of the lognormal distribution; Sigma is the standard deviation of
// its logarithm. Longest is the upper limit of a lognormal sample; 0 means none.
type ServiceTime struct {
	Distribution Distribution
	Median       time.Duration
	Sigma        float64
	Longest      time.Duration
}

// Config sets up a Server.
type Config struct {
	StateMachine StateMachineConfig
	Service      identifier.ServiceName
	Instance     identifier.InstanceID
	Address      identifier.Address
	Connections  int // limit of open connections; further ones are closed on accept
	AnnounceURL  string

	CrashMarker  string // a request with this text in its path or body crashes the server; empty means none
	SoftCrash    bool
	SoftCrashFor timer.Millis // how long connections are refused

	DrainIdle timer.Millis // time without a request in flight after which a drain ends
	DrainMax  timer.Millis // longest drain

	// Exit ends the process in a hard crash.
	Exit func(code int)
}
