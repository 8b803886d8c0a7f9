package receiver

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/limiter"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// ingressMetrics counts requests by service and outcome.
type ingressMetrics struct {
	mu       sync.RWMutex
	counters map[counterKey]*metrics.Counter
}

type counterKey struct {
	service identifier.ServiceName
	outcome encoder.Outcome
}

func newIngressMetrics() *ingressMetrics {
	return &ingressMetrics{counters: map[counterKey]*metrics.Counter{}}
}

func (m *ingressMetrics) count(service identifier.ServiceName, outcome encoder.Outcome) {
	key := counterKey{service, outcome}
	m.mu.RLock()
	counter, found := m.counters[key]
	m.mu.RUnlock()
	if !found {
		name := fmt.Sprintf(`magnoliaknot_requests_total{service=%q,outcome=%q}`, service, outcome)
		counter = metrics.GetOrCreateCounter(name)
		m.mu.Lock()
		m.counters[key] = counter
		m.mu.Unlock()
	}
	counter.Inc()
}

// WriteMetrics writes the totals of the load-measuring budget in the Prometheus
// format.
func (m *MeasuringBudget) WriteMetrics(w io.Writer) {
	for _, kind := range limiter.Kinds {
		c := m.Counters(kind)
		for _, total := range []struct {
			unit, result string
			value        uint64
		}{
			{"messages", "taken", c.TakenMessages},
			{"messages", "refused", c.RefusedMessages},
			{"bytes", "taken", c.TakenBytes},
			{"bytes", "refused", c.RefusedBytes},
		} {
			name := fmt.Sprintf(`magnoliaknot_measuring_%s_total{kind=%q,result=%q}`, total.unit, kind, total.result)
			metrics.WriteCounterUint64(w, name, total.value)
		}
	}
}
