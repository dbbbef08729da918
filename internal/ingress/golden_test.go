package ingress

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"hitchspring/internal/golden"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/internal/peers"
	"hitchspring/internal/zones"
)

// Dashboards and alerts depend on these metric names and labels.
func TestGoldenPrometheusNames(t *testing.T) {
	var z zones.Status
	var p peers.Status
	golden.Fill(&z)
	golden.Fill(&p)
	reg := prometheus.NewPedanticRegistry()
	reg.MustRegister(newZoneCollector(func() (zones.Status, bool) { return z, true }),
		newPeerCollector(func() (peers.Status, bool) { return p, true }),
		newRequestCollector(metrics.New([]string{"class"}, []string{"reason"}, []string{"outcome"}), &guard.Monitor{}))
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	for _, f := range families {
		for _, m := range f.GetMetric() {
			fmt.Fprint(&b, f.GetType(), " ", f.GetName())
			for _, l := range m.GetLabel() {
				fmt.Fprintf(&b, " %s=%q", l.GetName(), l.GetValue())
			}
			fmt.Fprintln(&b)
		}
	}
	golden.Compare(t, "prometheus-names", b.Bytes())
}
