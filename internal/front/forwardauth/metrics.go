package forwardauth

import "github.com/prometheus/client_golang/prometheus"

// metrics are what the front counts.
type metrics struct {
	asks, reports, shed *prometheus.CounterVec
	took                prometheus.Histogram
	conns               prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hitchspring_forward_auth_calls_total",
			Help: "Calls by what they were answered: granted, refused, failed, over, other, left, unreadable, untrusted.",
		}, []string{"answer"}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hitchspring_forward_auth_reports_total",
			Help: "Reports by what they said: served, refused, failed, unsent; or again, late, unknown, conflict, unreadable.",
		}, []string{"outcome"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hitchspring_forward_auth_shed_total",
			Help: "Calls and connections that found no room.",
		}, []string{"bound"}),
		took: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "hitchspring_forward_auth_answer_seconds",
			Help: "Time from a call's headers to its answer.", Buckets: []float64{.0005, .001, .002, .003, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5},
		}),
		conns: prometheus.NewGauge(prometheus.GaugeOpts{Name: "hitchspring_forward_auth_connections", Help: "Open connections of gates."}),
	}
	reg.MustRegister(m.asks, m.reports, m.shed, m.took, m.conns)
	return m
}
