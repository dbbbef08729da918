package core

import (
	"fmt"
	"testing"
	"time"

	"hitchspring/internal/overrun"
	"hitchspring/policy"
)

// Up to MaxBoundsShown quotas, all are returned; of more, those with the highest demand.
func TestQuotaBoundsOfManyTenants(t *testing.T) {
	for tenants, want := range map[int]int{300: 300, MaxBoundsShown + 6: MaxBoundsShown} {
		t.Run(fmt.Sprint(tenants), func(t *testing.T) {
			cfg := testConfig(endpointsAt())
			cfg.Settings.Plans = []policy.Plan{{Name: "p", Price: 1, Rate: 5, Burst: 9}}
			c := newTestCore(t, cfg, discardLogger)
			name := func(i int) string { return fmt.Sprintf("c%05d", i) }
			var learned policy.LearnedState
			for i := range tenants {
				tenant := policy.LearnedTenant{
					Account: name(i),
					Tenant:  name(i),
					Plan:    "p",
					Spread:  1,
					Demand:  float64(i),
				}
				learned.Tenants = append(learned.Tenants, tenant)
			}
			c.engine.ImportState(time.Second, learned)
			reply := make(chan []overrun.Bound, 1)
			c.replyQuotaBounds(quotaBoundsRequested{reply: reply})
			bounds := <-reply
			if len(bounds) != want {
				t.Fatalf("got %d bounds, want %d", len(bounds), want)
			}
			if got, want := bounds[0].Tenant, name(tenants-1); got != want {
				t.Errorf("first bound: got tenant %q, want %q", got, want)
			}
			if got, want := bounds[len(bounds)-1].Tenant, name(tenants-want); got != want {
				t.Errorf("last bound: got tenant %q, want %q", got, want)
			}
		})
	}
}
