package ingress

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"hitchspring/internal/zones"
)

// hallFigures exports what is known of halls, read when it is asked for.
type zoneCollector struct {
	status func() (zones.Status, bool)
	availableShare, plannedSpill, spilled, panicking,
	capacity, nominal, offered, answered, late, ramp, price, state, caution, backends *prometheus.Desc
}

func newZoneCollector(status func() (zones.Status, bool)) *zoneCollector {
	d := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("hitchspring_"+name, help, labels, nil)
	}
	return &zoneCollector{
		status:    status,
		availableShare:     d("halls_reach_ratio", "Share of all halls' capacity that is to be had."),
		plannedSpill:   d("halls_spill_planned_ratio", "Share of this instance's work that leaves its own hall at the least."),
		spilled:   d("halls_spill_ratio", "Share of this instance's attempts that left its own hall over the last second."),
		panicking: d("halls_panic", "1 while no hall is preferred for want of capacity."),
		capacity:  d("hall_capacity_nodes", "What a hall can take now, in usual warm nodes.", "hall"),
		nominal:   d("hall_nominal_nodes", "What a hall has had of late, in usual warm nodes.", "hall"),
		offered:   d("hall_attempts_per_second", "Attempts that this instance sends to a hall.", "hall"),
		answered:  d("hall_answers_per_second", "Answers of a hall to this instance.", "hall"),
		late:      d("hall_late_ratio", "Share of ends of attempts that were late or bad.", "hall"),
		ramp:      d("hall_ramp_ratio", "Share of its rate that a returning hall is let have; 0 while it is lost or drained.", "hall"),
		price:     d("hall_price_ratio", "What a node there counts for against one at home with the same load.", "hall"),
		state:     d("hall_state", "1 for the state that a hall is in.", "hall", "state"),
		caution:   d("hall_caution", "Losses that are not forgotten: each doubles the ramp.", "hall"),
		backends:     d("hall_nodes", "Nodes that run by the list, and those of them that are held to answer.", "hall", "kind"),
	}
}

// Describe is for prometheus.
func (f *zoneCollector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(f, ch) }

// Collect is for prometheus.
func (f *zoneCollector) Collect(ch chan<- prometheus.Metric) {
	s, ok := f.status()
	if !ok {
		return
	}
	put := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	put(f.availableShare, s.AvailableShare)
	put(f.plannedSpill, s.PlannedSpill)
	put(f.spilled, s.Spilled)
	put(f.panicking, map[bool]float64{true: 1}[s.Panic])
	for _, h := range s.Zones {
		put(f.capacity, h.Capacity, h.Name)
		put(f.nominal, h.Nominal, h.Name)
		put(f.offered, h.Offered, h.Name)
		put(f.answered, h.Answered, h.Name)
		put(f.late, h.Late, h.Name)
		put(f.ramp, h.Ramp, h.Name)
		put(f.price, h.Price, h.Name)
		put(f.caution, float64(h.Caution), h.Name)
		put(f.backends, float64(h.Backends), h.Name, "listed")
		put(f.backends, float64(h.Proven), h.Name, "proven")
		for _, state := range zones.States() {
			put(f.state, map[bool]float64{true: 1}[state == h.State], h.Name, state)
		}
	}
}

// serveHalls answers what is known of the halls as JSON, for `hitchspring status halls`.
func (i *Instance) serveZones(w http.ResponseWriter, _ *http.Request) {
	s, ok := i.core.ZoneStatus()
	if !ok {
		http.Error(w, "nothing is known of halls: [halls] is off, or no node has been listed yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(s)
}
