package policy

import (
	"reflect"
	"testing"
	"time"
)

// A process that imports the state of another has the same quotas and backend
// statistics. The attempts in flight of the other process count until they are
// released.
func TestStateIsHandedOver(t *testing.T) {
	backends := runningBackends("a", "b")
	previous := newHarness(t, testSettings(), backends...)
	for id := range RequestID(12) {
		previous.arrive(id, "read", []string{"capped", "small", "free"}[id%3])
		previous.advance(30 * ms)
		if id%4 < 2 {
			previous.notify(succeeded(id, "a", 40*ms))
		}
	}
	want := previous.engine.ExportState()
	if want.InFlight == 0 || len(want.Tenants) == 0 || len(want.Backends) != 2 {
		t.Fatalf("got nothing to hand over: %+v", want)
	}
	next := newHarness(t, testSettings(), backends...)
	next.engine.ImportState(previous.now, want)
	if got := next.engine.ExportState(); !reflect.DeepEqual(got, want) {
		t.Fatalf("got after the import:\n%+v\nwant:\n%+v", got, want)
	}
	next.engine.ReleasePredecessor()
	got := next.engine.ExportState()
	if got.InFlight != 0 || got.Tenants[0].InFlight != 0 {
		t.Fatalf("got %d in flight after the release, %d of a tenant; want none", got.InFlight, got.Tenants[0].InFlight)
	}
	if next.engine.ReleasePredecessor(); next.engine.window.inFlight != 0 {
		t.Fatal("the second release changed the attempts in flight")
	}
}

// The previous process may spend the units of a ceiling that it has retained, but no
// more, since the ceiling is refilled in the next process.
func TestRetainedCeilingDoesNotFill(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	h.arrive(1, "read", "capped")
	h.advance(20 * time.Second)
	tenant := h.engine.ExportState().Tenants[0]
	tenant.CeilingLevel = 2
	tenant.CeilingAt = h.now
	tenant.LeasedUnits = 100
	h.engine.ImportState(h.now, LearnedState{Tenants: []LearnedTenant{tenant}})
	h.engine.RetainUnits([]LearnedTenant{tenant})
	sent := 0
	for id := range RequestID(40) {
		sent += len(actionsOf[SendAttempt](h.arrive(100+id, "read", "capped")))
		h.notify(succeeded(100+id, "s", ms))
		for _, s := range actionsOf[SendAttempt](h.advance(200 * ms)) {
			sent++
			h.notify(succeeded(s.ID, "s", ms))
		}
	}
	if sent != 2 {
		t.Fatalf("got %d sends of a ceiling that holds 2 units and does not fill, want 2", sent)
	}
}

// A process of the previous version exports accounts that consist of the tenant's
// name only. The leased units are kept, and the counter is called under the new name.
func TestImportsStateOfThePreviousVersion(t *testing.T) {
	previous := newHarness(t, testSettings(), runningBackends("s")...)
	for id := RequestID(1); id < 4; id++ {
		previous.arrive(id, "read", "small")
	}
	state := previous.engine.ExportState()
	state.Tenants[0].Account = "c"
	state.Tenants[0].Tenant = ""
	state.Tenants[0].Total = 5
	state.Tenants[0].LeasedUnits = 1.5
	next := newHarness(t, testSettings(), runningBackends("s")...)
	next.engine.ImportState(previous.now, state)
	next.now = previous.now
	next.arrive(9, "read", "small")
	got := next.engine.ExportState().Tenants
	account := (&Request{Tenant: "c", Plan: "small"}).Account()
	if len(got) != 1 || got[0].Account != account || got[0].Tenant != "c" ||
		got[0].LeasedUnits >= 1.5 || got[0].Total != 0 {
		t.Errorf("got tenants %+v, want %s alone with less than 1.5 leased units and total 0", got, account)
	}
}
