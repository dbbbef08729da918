package core

import (
	"testing"

	"hitchspring/internal/discovery"
	"hitchspring/policy"
)

// startedTarget returns the entry of a backend that started at a time.
func startedTarget(uid, addr, state string, bootMS int64) discovery.Target {
	return discovery.Target{UID: uid, Endpoint: addr, Zone: "a", State: state, BootMS: bootMS}
}

// Guards against work that is sent to a backend that has gone, at whose address another process serves: it would reach
// the new one, beyond what that is to get while it starts, and outside of what its group remembers.
func TestLaterProcessAtAnAddressReplacesTheEarlierOne(t *testing.T) {
	target := startedTarget
	const (
		addr, other = "127.0.0.1:1001", "127.0.0.1:1002"
		serving     = "SERVING"
	)
	before := []discovery.Target{target("old", addr, serving, 5), target("same", other, serving, 0)}
	newOne := target("new", addr, serving, 9)
	for name, c := range map[string]struct {
		updates []discovery.List
		want    map[policy.BackendID]bool // whether it serves
	}{
		"told of the new one only": {
			[]discovery.List{{Rev: 2, Targets: []discovery.Target{newOne}}},
			map[policy.BackendID]bool{"old": false, "new": true, "same": true},
		},
		"both in a whole list": {
			[]discovery.List{{Rev: 2, Complete: true, Targets: []discovery.Target{newOne, before[0]}}},
			map[policy.BackendID]bool{"old": false, "new": true, "same": false},
		},
		"the old one is told of again": {
			[]discovery.List{{Rev: 2, Targets: []discovery.Target{newOne}}, {Rev: 3, Targets: before[:1]}},
			map[policy.BackendID]bool{"old": false, "new": true, "same": true},
		},
		"the old one comes back elsewhere": {
			[]discovery.List{
				{Rev: 2, Targets: []discovery.Target{newOne}},
				{Rev: 3, Targets: []discovery.Target{target("old", "127.0.0.1:1003", serving, 11)}},
			},
			map[policy.BackendID]bool{"old": true, "new": true, "same": true},
		},
		"the old one comes back at its address": {
			[]discovery.List{
				{Rev: 2, Targets: []discovery.Target{newOne}},
				{Rev: 3, Targets: []discovery.Target{target("old", addr, serving, 11)}},
			},
			map[policy.BackendID]bool{"old": true, "new": false, "same": true},
		},
		"it is not known which came later": {
			[]discovery.List{{Rev: 2, Targets: []discovery.Target{target("new", other, serving, 0)}}},
			map[policy.BackendID]bool{"old": true, "new": true, "same": true},
		},
		"the old one drains": {
			[]discovery.List{
				{Rev: 2, Targets: []discovery.Target{target("old", addr, "DRAINING", 5)}},
				{Rev: 3, Targets: []discovery.Target{newOne}},
			},
			map[policy.BackendID]bool{"old": false, "new": true, "same": true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			core := newIdleCore(t, testConfig(discovery.List{Rev: 1, Complete: true, Targets: before}))
			for _, update := range c.updates {
				core.handle(update)
			}
			for id, want := range c.want {
				if _, serves := core.backends.Addr(id); serves != want {
					t.Errorf("backend %s serves: %v, want %v", id, serves, want)
				}
			}
		})
	}
}
