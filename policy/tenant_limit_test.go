package policy

import (
	"fmt"
	"testing"
	"time"
)

// arriveFrom lets a request of a tenant arrive, and reports whether it was sent; it is
// served at once.
func (h *harness) arriveFrom(id RequestID, tenant, plan string) (sent bool, rejected []Reject) {
	q := h.request(id, "read", plan)
	q.Tenant, q.Spread = tenant, 1
	actions := h.notify(Arrival{q})
	if sent = len(actionsOf[SendAttempt](actions)) > 0; sent {
		h.notify(succeeded(id, "s", ms))
	}
	return sent, actionsOf[Reject](actions)
}

// Guards against memory without bound for tenants with ever new names: as many are
// tracked as may be, and requests of others are rejected. Known tenants are served.
func TestTenantsWithNewNamesAreBounded(t *testing.T) {
	for _, plan := range []string{"free", "small"} {
		t.Run(plan, func(t *testing.T) { testNewNames(t, plan) })
	}
}

func testNewNames(t *testing.T, plan string) {
	settings := testSettings()
	settings.Instances, settings.MaxTenants, settings.Counter = 1, 100, false
	h := newHarness(t, settings, runningBackends("s", "u")...)
	id := RequestID(0)
	for n := range 2000 {
		id++
		sent, rejected := h.arriveFrom(id, fmt.Sprint("new", n), plan)
		if n < settings.MaxTenants && !sent {
			t.Fatalf("tenant %d was rejected: %v", n, rejected)
		}
		if !sent && (len(rejected) != 1 || rejected[0].Reason != TenantLimit || rejected[0].RetryAfter <= 0) {
			t.Fatalf("tenant %d: got rejections %v", n, rejected)
		}
		if n%100 == 0 && !h.servesKnown(&id, plan) {
			t.Fatalf("a known tenant was rejected after %d new names", n)
		}
		h.advance(10 * ms)
	}
	tracked, ordered := len(h.engine.tenants), len(h.engine.tenantOrder)
	if tracked > settings.MaxTenants || tracked != ordered {
		t.Errorf("%d tenants are tracked, %d in order, want %d at most", tracked, ordered, settings.MaxTenants)
	}
}

func (h *harness) servesKnown(id *RequestID, plan string) bool {
	*id++
	sent, _ := h.arriveFrom(*id, "new0", plan)
	return sent
}

// A tenant is deleted once its quota is full again, also under a plan without a rate.
func TestIdleTenantsAreDeleted(t *testing.T) {
	for _, plan := range []string{"free", "small"} {
		settings := testSettings()
		settings.Instances, settings.Counter = 1, false
		h := newHarness(t, settings, runningBackends("s")...)
		h.arriveFrom(1, "one", plan)
		h.advance(counterNameRetention + 10*time.Second)
		if got := len(h.engine.tenants); got != 0 {
			t.Errorf("plan %s: %d tenants are tracked after a minute of idleness, want none", plan, got)
		}
	}
}

// Guards against a quota that begins anew for a tenant that was deleted to make room
// before its quota was full again.
func TestReclaimedTenantsKeepTheirQuotas(t *testing.T) {
	settings := testSettings()
	settings.Instances, settings.MaxTenants, settings.Counter = 1, 4, false
	h := newHarness(t, settings, runningBackends("s", "u")...)
	const span = 60 // seconds
	sent := 0
	id := RequestID(0)
	for step := range span * 10 {
		for range 3 {
			id++
			if ok, _ := h.arriveFrom(id, "spender", "small"); ok {
				sent++
			}
		}
		for n := range 8 {
			id++
			h.arriveFrom(id, fmt.Sprint(step, "-", n), "small")
		}
		h.advance(100 * ms)
	}
	if limit := 8 + 2*span; sent > limit+2 {
		t.Errorf("%d units were sent in %d s, want %d at most", sent, span, limit)
	}
}
