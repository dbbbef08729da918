package ingress

import (
	"github.com/prometheus/client_golang/prometheus"

	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
)

// requestCollector exports the admin server's counters as Prometheus metrics. It
// reads them at each scrape.
type requestCollector struct {
	set   *metrics.Set
	guard *guard.Monitor

	requests     *prometheus.Desc
	disconnects  *prometheus.Desc
	attemptsSent *prometheus.Desc
	open         *prometheus.Desc
	backends     *prometheus.Desc
	avoided      *prometheus.Desc
	reasons      *prometheus.Desc
	violations   *prometheus.Desc
}

func newRequestCollector(set *metrics.Set, m *guard.Monitor) *requestCollector {
	return &requestCollector{
		set:   set,
		guard: m,
		reasons: newMetricDesc("reasons_total",
			"Refusals, failures, ends of attempts, attempts held back and ends of clients' connections, by reason.",
			"what", "reason"),
		violations: newMetricDesc("invariants_violated_total",
			"What must never happen, by its name; 0 is wanted.", "invariant"),
		requests: newMetricDesc("requests_total",
			"Requests by class and by how they ended: answered, deferred (refused), errored (failed).",
			"class", "end"),
		disconnects: newMetricDesc("requests_client_gone_total",
			"Requests dropped because their client had closed its connection, by how far they had come.",
			"stage"),
		attemptsSent: newMetricDesc("attempts_written_total",
			"Attempts that were written to a node to their last byte."),
		open:     newMetricDesc("requests_open", "Requests taken and not ended."),
		backends: newMetricDesc("nodes_listed", "Nodes in discovery's list."),
		avoided:  newMetricDesc("nodes_avoided", "Listed nodes that are taken out by hand or left out by choice."),
	}
}

// Describe implements prometheus.Collector.
func (c *requestCollector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c *requestCollector) Collect(ch chan<- prometheus.Metric) {
	put := func(d *prometheus.Desc, kind prometheus.ValueType, v int64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, kind, float64(v), labels...)
	}
	for _, class := range c.set.Classes() {
		for _, end := range metrics.Ends() {
			put(c.requests, prometheus.CounterValue, c.set.Requests(class, end), class, end.String())
		}
	}
	for _, stage := range metrics.Stages() {
		put(c.disconnects, prometheus.CounterValue, c.set.Disconnects(stage), stage.String())
	}
	c.set.Each(func(group, name string, n int64) { put(c.reasons, prometheus.CounterValue, n, group, name) })
	for _, i := range guard.Invariants() {
		put(c.violations, prometheus.CounterValue, c.guard.Count(i), i.String())
	}
	size, unhealthy := c.set.Backends()
	put(c.attemptsSent, prometheus.CounterValue, c.set.AttemptsSent())
	put(c.open, prometheus.GaugeValue, c.set.OpenRequests())
	put(c.backends, prometheus.GaugeValue, size)
	put(c.avoided, prometheus.GaugeValue, unhealthy)
}

// newMetricDesc returns a metric description whose name has the hitchspring_ prefix.
func newMetricDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("hitchspring_"+name, help, labels, nil)
}
