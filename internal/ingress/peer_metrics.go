package ingress

import (
	"github.com/prometheus/client_golang/prometheus"

	"hitchspring/internal/peers"
)

// peerCollector exports the status of the peers as Prometheus metrics. It reads the
// status at each scrape.
type peerCollector struct {
	status func() (peers.Status, bool)

	members  *prometheus.Desc
	facts    *prometheus.Desc
	bytes    *prometheus.Desc
	messages *prometheus.Desc
	traffic  *prometheus.Desc
	ignored  *prometheus.Desc
	refuted  *prometheus.Desc
	deaths   *prometheus.Desc
	stalls   *prometheus.Desc
}

func newPeerCollector(status func() (peers.Status, bool)) *peerCollector {
	return &peerCollector{
		status:   status,
		members:  newMetricDesc("peers_members", "Other instances by what is believed of them.", "state"),
		facts:    newMetricDesc("peers_facts", "Facts that are held, of all instances."),
		bytes:    newMetricDesc("peers_facts_bytes", "Memory that facts take."),
		messages: newMetricDesc("peers_messages_total", "Datagrams from and to other instances.", "way"),
		traffic:  newMetricDesc("peers_bytes_total", "Bytes of datagrams from and to other instances.", "way"),
		ignored:  newMetricDesc("peers_left_aside_total", "Datagrams and parts of them that were left aside.", "why"),
		refuted: newMetricDesc("peers_refuted_total",
			"Times that others took this instance for gone and were told otherwise."),
		deaths: newMetricDesc("peers_refuted_deaths_total",
			"Times that this instance took another for gone which was there."),
		stalls: newMetricDesc("peers_stalls_total", "Times that this process did not run for long."),
	}
}

// Describe implements prometheus.Collector.
func (c *peerCollector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c *peerCollector) Collect(ch chan<- prometheus.Metric) {
	s, ok := c.status()
	if !ok {
		return
	}
	put := func(d *prometheus.Desc, kind prometheus.ValueType, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, kind, v, labels...)
	}
	states := map[string]float64{"alive": 0, "suspect": 0, "dead": 0, "left": 0}
	for _, m := range s.Members {
		states[m.State]++
	}
	for state, n := range states {
		put(c.members, prometheus.GaugeValue, n, state)
	}
	put(c.facts, prometheus.GaugeValue, float64(s.Facts))
	put(c.bytes, prometheus.GaugeValue, float64(s.Bytes))
	put(c.messages, prometheus.CounterValue, float64(s.Counts.In), "in")
	put(c.messages, prometheus.CounterValue, float64(s.Counts.Out), "out")
	put(c.traffic, prometheus.CounterValue, float64(s.Counts.BytesIn), "in")
	put(c.traffic, prometheus.CounterValue, float64(s.Counts.BytesOut), "out")
	for reason, n := range map[string]int{
		"key":        s.Counts.WrongKey,
		"malformed":  s.Counts.Malformed + s.Gossip.Malformed,
		"newer":      s.Counts.Newer,
		"late":       s.Gossip.Late,
		"ended life": s.Swim.EndedIncarnation + s.Gossip.EndedIncarnation,
		"stray":      s.Swim.Stray + s.Counts.Unsolicited,
		"full":       s.Swim.Full + s.Gossip.Full,
	} {
		put(c.ignored, prometheus.CounterValue, float64(n), reason)
	}
	put(c.refuted, prometheus.CounterValue, float64(s.Swim.Refuted))
	put(c.deaths, prometheus.CounterValue, float64(s.Swim.RefutedDeaths))
	put(c.stalls, prometheus.CounterValue, float64(s.Swim.Stalls))
}
