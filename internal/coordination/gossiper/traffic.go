package gossiper

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// trafficKind is a kind of datagram in metrics.
type trafficKind int

// Kinds of datagrams in metrics.
const (
	trafficStatus trafficKind = iota
	trafficReport
	trafficRequest
	trafficKinds
)

// trafficCounter counts the datagrams of one kind to one part of the fleet.
type trafficCounter struct{ datagrams, bytes *metrics.Counter }

func newTrafficCounter(kind, domain string) trafficCounter {
	labels := fmt.Sprintf(`{kind=%q,domain=%q}`, kind, domain)
	return trafficCounter{
		datagrams: metrics.GetOrCreateCounter("magnoliaknot_gossip_datagrams_total" + labels),
		bytes:     metrics.GetOrCreateCounter("magnoliaknot_gossip_bytes_total" + labels),
	}
}

func (c trafficCounter) add(bytes int) {
	c.datagrams.Inc()
	c.bytes.Add(bytes)
}

// traffic counts the datagrams sent, by kind and failure domain.
type traffic struct {
	same, other [trafficKinds]trafficCounter
	// answers are sent to an address whose failure domain is not known.
	answers trafficCounter
}

func newTraffic() traffic {
	t := traffic{answers: newTrafficCounter("answer", "unknown")}
	for kind, name := range [trafficKinds]string{"status", "report", "request"} {
		t.same[kind] = newTrafficCounter(name, "same")
		t.other[kind] = newTrafficCounter(name, "other")
	}
	return t
}

func (t *traffic) count(kind trafficKind, sameDomain bool, bytes int) {
	if sameDomain {
		t.same[kind].add(bytes)
		return
	}
	t.other[kind].add(bytes)
}

func (t *traffic) countAnswer(bytes int) { t.answers.add(bytes) }
