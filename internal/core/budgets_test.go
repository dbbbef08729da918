package core

import (
	"fmt"
	"testing"
	"time"

	"hitchspring/internal/overrun"
	"hitchspring/policy"
)

// The quotas of hundreds of channels are all stated; beyond the bound, those with the most demand.
func TestBudgetsOfManyChannels(t *testing.T) {
	for channels, want := range map[int]int{300: 300, MaxBoundsShown + 6: MaxBoundsShown} {
		cfg := testConfig("", fleetOf())
		cfg.Settings.Plans = []policy.Plan{{Name: "p", Price: 1, Rate: 5, Burst: 9}}
		g, err := New(cfg, quiet)
		if err != nil {
			t.Fatal(err)
		}
		var l policy.LearnedState
		for i := range channels {
			l.Tenants = append(l.Tenants, policy.LearnedTenant{ID: fmt.Sprintf("c%05d", i), Tenant: fmt.Sprintf("c%05d", i), Plan: "p", Spread: 1, Demand: float64(i)})
		}
		g.engine.ImportState(time.Second, l)
		reply := make(chan []overrun.Bound, 1)
		g.replyQuotaBounds(quotaBoundsRequested{reply: reply})
		all := <-reply
		if len(all) != want || all[0].Tenant != fmt.Sprintf("c%05d", channels-1) || all[len(all)-1].Tenant != fmt.Sprintf("c%05d", channels-want) {
			t.Errorf("%d of %d channels are stated, from %q to %q", len(all), channels, all[0].Tenant, all[len(all)-1].Tenant)
		}
	}
}
