package assembler

import (
	"fmt"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// share is the part of a roll-out that shares show.
type share struct {
	rolloutState
	percent float64
}

// shares shows the share of each roll-out in metrics and logs its changes.
type shares struct {
	logger *slog.Logger
	shown  map[identifier.ServiceName]share
}

func newShares(logger *slog.Logger) *shares {
	return &shares{logger: logger, shown: map[identifier.ServiceName]share{}}
}

// show shows what has changed in a snapshot.
func (s *shares) show(snapshot *router.Snapshot) {
	found := map[identifier.ServiceName]bool{}
	for _, service := range snapshot.RolloutServices() {
		rollout, exists := snapshot.Rollout(service)
		if !exists {
			continue
		}
		found[service] = true
		next := share{stateOf(rollout.RolloutProgress), rollout.Share()}
		if known, shown := s.shown[service]; shown && known == next {
			continue
		}
		s.shown[service] = next
		metrics.GetOrCreateGauge(shareMetric(service), nil).Set(next.percent)
		s.logger.Info("roll-out in force", "service", service, "target", next.target, "phase", next.phase, "percent", next.percent)
	}
	for service := range s.shown {
		if !found[service] {
			delete(s.shown, service)
			metrics.UnregisterMetric(shareMetric(service))
			s.logger.Info("roll-out no longer in force", "service", service)
		}
	}
}

func shareMetric(service identifier.ServiceName) string {
	return fmt.Sprintf("magnoliaknot_rollout_share_percent{service=%q}", string(service))
}
