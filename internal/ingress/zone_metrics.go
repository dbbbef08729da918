package ingress

import (
	"github.com/prometheus/client_golang/prometheus"

	"hitchspring/internal/zones"
)

// zoneCollector exports the status of the zones as Prometheus metrics. It reads the
// status at each scrape.
type zoneCollector struct {
	status func() (zones.Status, bool)

	availableShare *prometheus.Desc
	plannedSpill   *prometheus.Desc
	spilled        *prometheus.Desc
	panicking      *prometheus.Desc
	capacity       *prometheus.Desc
	nominal        *prometheus.Desc
	offered        *prometheus.Desc
	answered       *prometheus.Desc
	late           *prometheus.Desc
	ramp           *prometheus.Desc
	price          *prometheus.Desc
	state          *prometheus.Desc
	caution        *prometheus.Desc
	backends       *prometheus.Desc
}

func newZoneCollector(status func() (zones.Status, bool)) *zoneCollector {
	return &zoneCollector{
		status:         status,
		availableShare: newMetricDesc("halls_reach_ratio", "Share of all halls' capacity that is to be had."),
		plannedSpill: newMetricDesc("halls_spill_planned_ratio",
			"Share of this instance's work that leaves its own hall at the least."),
		spilled: newMetricDesc("halls_spill_ratio",
			"Share of this instance's attempts that left its own hall over the last second."),
		panicking: newMetricDesc("halls_panic", "1 while no hall is preferred for want of capacity."),
		capacity:  newMetricDesc("hall_capacity_nodes", "What a hall can take now, in usual warm nodes.", "hall"),
		nominal:   newMetricDesc("hall_nominal_nodes", "What a hall has had of late, in usual warm nodes.", "hall"),
		offered:   newMetricDesc("hall_attempts_per_second", "Attempts that this instance sends to a hall.", "hall"),
		answered:  newMetricDesc("hall_answers_per_second", "Answers of a hall to this instance.", "hall"),
		late:      newMetricDesc("hall_late_ratio", "Share of ends of attempts that were late or bad.", "hall"),
		ramp: newMetricDesc("hall_ramp_ratio",
			"Share of its rate that a returning hall is let have; 0 while it is lost or drained.", "hall"),
		price: newMetricDesc("hall_price_ratio",
			"What a node there counts for against one at home with the same load.", "hall"),
		state:   newMetricDesc("hall_state", "1 for the state that a hall is in.", "hall", "state"),
		caution: newMetricDesc("hall_caution", "Losses that are not forgotten: each doubles the ramp.", "hall"),
		backends: newMetricDesc("hall_nodes",
			"Nodes that run by the list, and those of them that are held to answer.", "hall", "kind"),
	}
}

// Describe implements prometheus.Collector.
func (c *zoneCollector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector.
func (c *zoneCollector) Collect(ch chan<- prometheus.Metric) {
	s, ok := c.status()
	if !ok {
		return
	}
	put := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	put(c.availableShare, s.AvailableShare)
	put(c.plannedSpill, s.PlannedSpill)
	put(c.spilled, s.Spilled)
	put(c.panicking, map[bool]float64{true: 1}[s.Panic])
	for _, zone := range s.Zones {
		put(c.capacity, zone.Capacity, zone.Name)
		put(c.nominal, zone.Nominal, zone.Name)
		put(c.offered, zone.Offered, zone.Name)
		put(c.answered, zone.Answered, zone.Name)
		put(c.late, zone.Late, zone.Name)
		put(c.ramp, zone.Ramp, zone.Name)
		put(c.price, zone.Price, zone.Name)
		put(c.caution, float64(zone.Caution), zone.Name)
		put(c.backends, float64(zone.Backends), zone.Name, "listed")
		put(c.backends, float64(zone.Proven), zone.Name, "proven")
		for _, state := range zones.States() {
			put(c.state, map[bool]float64{true: 1}[state == zone.State], zone.Name, state)
		}
	}
}
