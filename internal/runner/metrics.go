package runner

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
)

// newMetrics returns a set with the gauges of the daemon.
func (d *daemon) newMetrics() *metrics.Set {
	set := metrics.NewSet()
	admission := func(value func(admitter.Status) float64) func() float64 {
		return func() float64 {
			status, _ := d.admission.Status()
			return value(status)
		}
	}
	gauges := map[string]func() float64{
		"magnoliaknot_configuration_version":          func() float64 { return float64(d.configuration.View().Version) },
		"magnoliaknot_configuration_diverged_total":   func() float64 { return float64(d.configuration.Diverged()) },
		"magnoliaknot_members":                        func() float64 { return float64(d.membership.Len()) },
		"magnoliaknot_ingress_requests_in_flight":     func() float64 { return float64(d.ingress.InFlight()) },
		"magnoliaknot_admission_requests_in_flight":   admission(func(s admitter.Status) float64 { return float64(s.Load.InFlight) }),
		"magnoliaknot_admission_requests_queued":      admission(func(s admitter.Status) float64 { return float64(s.Load.Queued) }),
		"magnoliaknot_admission_limit":                admission(func(s admitter.Status) float64 { return float64(s.Load.Limit) }),
		"magnoliaknot_admission_cold":                 admission(func(s admitter.Status) float64 { return boolGauge(s.Load.Cold) }),
		"magnoliaknot_admission_closed":               admission(func(s admitter.Status) float64 { return boolGauge(s.Closed != "") }),
		"magnoliaknot_configuration_confirmed_age_ms": d.confirmedAge(appender.Configuration),
		"magnoliaknot_membership_confirmed_age_ms":    d.confirmedAge(appender.Membership),
		"magnoliaknot_ownership_confirmed_age_ms":     d.confirmedAge(appender.Ownership),
	}
	for name, value := range gauges {
		set.NewGauge(name, value)
	}
	return set
}

func (d *daemon) confirmedAge(stream appender.Stream) func() float64 {
	return func() float64 { return float64(d.followers[stream].ConfirmedAge()) }
}

func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// serveMetrics returns a handler that writes the gauges of the daemon and the
// metrics of the process in the Prometheus text format.
func (d *daemon) serveMetrics() http.HandlerFunc {
	set := d.newMetrics()
	return func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		d.measuringBudget.WriteMetrics(w)
		metrics.WritePrometheus(w, true)
	}
}
