package ingress

import (
	"github.com/prometheus/client_golang/prometheus"

	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
)

// requestFigures exports to [metrics] what the operators' door shows: the same counters, read when they are asked for.
type requestCollector struct {
	set                                                          *metrics.Set
	guard                                                        *guard.Monitor
	requests, disconnects, attemptsSent, open, backends, avoided, reasons, violations *prometheus.Desc
}

func newRequestCollector(set *metrics.Set, m *guard.Monitor) *requestCollector {
	d := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("hitchspring_"+name, help, labels, nil)
	}
	return &requestCollector{
		set: set, guard: m,
		reasons:   d("reasons_total", "Refusals, failures, ends of attempts, attempts held back and ends of clients' connections, by reason.", "what", "reason"),
		violations:  d("invariants_violated_total", "What must never happen, by its name; 0 is wanted.", "invariant"),
		requests:     d("requests_total", "Requests by class and by how they ended: answered, deferred (refused), errored (failed).", "class", "end"),
		disconnects:      d("requests_client_gone_total", "Requests dropped because their client had closed its connection, by how far they had come.", "stage"),
		attemptsSent:     d("attempts_written_total", "Attempts that were written to a node to their last byte."),
		open:      d("requests_open", "Requests taken and not ended."),
		backends:      d("nodes_listed", "Nodes in discovery's list."),
		avoided: d("nodes_avoided", "Listed nodes that are taken out by hand or left out by choice."),
	}
}

// Describe is for prometheus.
func (f *requestCollector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(f, ch) }

// Collect is for prometheus.
func (f *requestCollector) Collect(ch chan<- prometheus.Metric) {
	put := func(d *prometheus.Desc, kind prometheus.ValueType, v int64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, kind, float64(v), labels...)
	}
	for _, class := range f.set.Classes() {
		for _, end := range metrics.Ends() {
			put(f.requests, prometheus.CounterValue, f.set.Requests(class, end), class, end.String())
		}
	}
	for _, stage := range metrics.Stages() {
		put(f.disconnects, prometheus.CounterValue, f.set.Disconnects(stage), stage.String())
	}
	f.set.Each(func(group, name string, n int64) { put(f.reasons, prometheus.CounterValue, n, group, name) })
	for _, i := range guard.Invariants() {
		put(f.violations, prometheus.CounterValue, f.guard.Count(i), i.String())
	}
	size, unhealthy := f.set.Backends()
	put(f.attemptsSent, prometheus.CounterValue, f.set.AttemptsSent())
	put(f.open, prometheus.GaugeValue, f.set.Current())
	put(f.backends, prometheus.GaugeValue, size)
	put(f.avoided, prometheus.GaugeValue, unhealthy)
}
