package forwardauth

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the front's Prometheus metrics.
type metrics struct {
	calls           *prometheus.CounterVec // by answer
	reports         *prometheus.CounterVec // by outcome
	shed            *prometheus.CounterVec // by the limit that was reached
	answerSeconds   prometheus.Histogram
	openConnections prometheus.Gauge
}

// newMetrics creates the metrics and registers them with reg.
func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hitchspring_forward_auth_calls_total",
			Help: "Calls by what they were answered: " +
				"granted, refused, failed, over, other, left, unreadable, untrusted.",
		}, []string{"answer"}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hitchspring_forward_auth_reports_total",
			Help: "Reports by what they said: " +
				"served, refused, failed, unsent; or again, late, unknown, conflict, unreadable.",
		}, []string{"outcome"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hitchspring_forward_auth_shed_total",
			Help: "Calls and connections that found no room.",
		}, []string{"bound"}),
		answerSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "hitchspring_forward_auth_answer_seconds",
			Help:    "Time from a call's headers to its answer.",
			Buckets: []float64{.0005, .001, .002, .003, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5},
		}),
		openConnections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hitchspring_forward_auth_connections",
			Help: "Open connections of gates.",
		}),
	}
	reg.MustRegister(m.calls, m.reports, m.shed, m.answerSeconds, m.openConnections)
	return m
}
