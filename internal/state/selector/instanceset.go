package selector

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// latencyShift gives each measured latency a weight of one eighth in the
	// mean.
	latencyShift = 3
	// latencyExpiry is the age at which a mean latency is no longer used.
	latencyExpiry = 5 * timer.Second
	// maxRandomDraws is the number of random draws before a scan of all
	// instances. A scan is likely only when most instances are not accepted.
	maxRandomDraws = 4
)

// instanceState is what the daemon knows of one instance.
type instanceState struct {
	Instance
	// ownAttempts counts the daemon's outstanding attempts.
	ownAttempts int32
	// latency is the moving average of the daemon's own complete attempts, and
	// latencyAt the time of the last one.
	latency   time.Duration
	latencyAt timer.Millis

	load     Load
	reported bool
	// ownAtReport is the part of the reported load that the daemon caused.
	ownAtReport int32
	// usesSinceReport counts picks since the report.
	usesSinceReport int
	// local says that the instance is in the daemon's failure domain.
	local bool
	// estimate is the result of inFlight, cached for one pick.
	estimate int32
}

// inFlight estimates the requests at the instance now: the reported number,
// corrected by own attempts sent and ended since. Own attempts are a lower
// bound.
func (r *instanceState) inFlight() int32 {
	if !r.reported {
		return r.ownAttempts
	}
	return max(r.ownAttempts, r.load.InFlight+r.load.Queued+r.ownAttempts-r.ownAtReport)
}

// meanLatency returns the reported mean, else that of the daemon's own attempts.
// Zero means that neither is known or both have expired. Latencies expire since
// only new attempts can correct them, and a slow instance would get none.
func (r *instanceState) meanLatency(now timer.Millis) time.Duration {
	if r.reported && r.load.MeanLatency > 0 && r.age(now) < latencyExpiry {
		return r.load.MeanLatency
	}
	if now-r.latencyAt < latencyExpiry {
		return r.latency
	}
	return 0
}

// age returns the time since the report. It is negative if the clock has jumped
// back.
func (r *instanceState) age(now timer.Millis) timer.Millis { return now - r.load.ReceivedAt }

func (r *instanceState) report(now timer.Millis, load Load) {
	load.ReceivedAt = min(load.ReceivedAt, now)
	if r.reported && load.ReceivedAt < r.load.ReceivedAt && r.load.ReceivedAt <= now {
		return
	}
	r.load, r.reported = load, true
	r.ownAtReport, r.usesSinceReport = r.ownAttempts, 0
}

func (r *instanceState) ended(now timer.Millis, event AttemptEnded) {
	r.ownAttempts = max(0, r.ownAttempts-1)
	if event.Result != Complete || event.Latency <= 0 {
		return
	}
	if r.latency == 0 || now-r.latencyAt >= latencyExpiry {
		r.latency = event.Latency
	}
	r.latency += (event.Latency - r.latency) >> latencyShift
	r.latencyAt = now
}

// instanceSet holds the instances of the service in the order they were given. The
// policies embed it.
type instanceSet struct {
	list []*instanceState
	byID map[identifier.InstanceID]*instanceState
}

// Step processes an event.
func (r *instanceSet) Step(now timer.Millis, event Event) {
	switch e := event.(type) {
	case InstancesChanged:
		r.replace(e.Instances)
	case LoadReported:
		if found := r.byID[e.Instance]; found != nil {
			found.report(now, e.Load)
		}
	case AttemptSent:
		if found := r.byID[e.Instance]; found != nil {
			found.ownAttempts++
		}
	case AttemptEnded:
		if found := r.byID[e.Instance]; found != nil {
			found.ended(now, e)
		}
	}
}

func (r *instanceSet) replace(instances []Instance) {
	byID := make(map[identifier.InstanceID]*instanceState, len(instances))
	r.list = make([]*instanceState, 0, len(instances))
	for _, instance := range instances {
		if byID[instance.ID] != nil {
			continue
		}
		kept := r.byID[instance.ID]
		if kept == nil {
			kept = &instanceState{}
		}
		kept.Instance = instance
		byID[instance.ID] = kept
		r.list = append(r.list, kept)
	}
	r.byID = byID
}

// draw returns a random accepted instance, or nil if there is none.
func (r *instanceSet) draw(rng *rand.Rand, accept func(*instanceState) bool) *instanceState {
	if len(r.list) == 0 {
		return nil
	}
	for range maxRandomDraws {
		if drawn := r.list[rng.IntN(len(r.list))]; accept(drawn) {
			return drawn
		}
	}
	return r.next(rng.IntN(len(r.list)), accept)
}

// next returns the first accepted instance from a position on, or nil if there
// is none.
func (r *instanceSet) next(position int, accept func(*instanceState) bool) *instanceState {
	for i := range r.list {
		if candidate := r.list[(position+i)%len(r.list)]; accept(candidate) {
			return candidate
		}
	}
	return nil
}

// pickResult converts a chosen instance to the results of Pick.
func pickResult(chosen *instanceState) (identifier.InstanceID, bool) {
	if chosen == nil {
		return "", false
	}
	return chosen.ID, true
}
