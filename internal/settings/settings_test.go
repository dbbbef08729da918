package settings

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"hitchspring/policy"
)

const object = `{
	"me": 1, "replicasOfMe": 3, "myZone": "a", "registryMode": "subscribe", "unknown": {"skipped": true},
	"classes": [{
		"name": "publish", "value": 5, "objectiveUs": 500000, "deadlineUs": 2000000, "lateShare": 0.5,
		"effect": "idempotency_key", "group": "zone", "windowUs": 3000000
	}],
	"contracts": [{
		"name": "small", "price": 2, "refill": 3, "burst": 9, "concurrency": 4, "excessWorth": 0.25,
		"excessCost": 0.125, "hardRate": 6, "capDepth": 12, "tolerance": 1
	}],
	"familyInfo": {"costAfter": true, "counterTimeoutUs": 50000, "maxUnits": 2, "sharedCounter": true},
	"permissions": {
		"connIdleUs": 60000000, "connectTimeoutUs": 250000, "maxOpen": 100, "maxAttempts": 3,
		"maxRetryAfterUs": 1000000, "mayCancel": true, "probing": true, "parallelTries": true, "retryAfter": true
	},
	"prices": {"crossZone": 0.01},
	"invariants": {
		"coldFrom": 0.2, "warmAfterUs": 10000000, "fallMultiple": 4, "fallUs": 3000000, "drainGraceUs": 2000000
	}
}`

func TestParse(t *testing.T) {
	got, connections, err := Parse([]byte(object))
	if err != nil {
		t.Fatal(err)
	}
	want := &policy.Settings{
		Index:     1,
		Instances: 3,
		Zone:      "a",
		Classes: []policy.Class{{
			Name:             "publish",
			PriorityWeight:   5,
			LatencyObjective: 500 * time.Millisecond,
			Deadline:         2 * time.Second,
			LateShare:        0.5,
			Effect:           policy.Keyed,
			Group:            policy.GroupZone,
			RepeatWindow:     3 * time.Second,
		}},
		Plans: []policy.Plan{{
			Name:           "small",
			Price:          2,
			Rate:           3,
			Burst:          9,
			MaxInFlight:    4,
			ExcessWeight:   0.25,
			ExcessCost:     0.125,
			CeilingRate:    6,
			CeilingBurst:   12,
			CeilingSlack:   1,
			SettledByReply: true,
		}},
		MaxUnits:         2,
		MaxAttempts:      3,
		MaxRetryAfter:    time.Second,
		MayCancel:        true,
		MayProbe:         true,
		Hedging:          true,
		Counter:          true,
		CounterTimeout:   50 * time.Millisecond,
		PollEndpoints:    true,
		CrossZonePrice:   0.01,
		SlowStartShare:   0.2,
		SlowStartWindow:  10 * time.Second,
		OverloadMultiple: 4,
		OverloadSpan:     3 * time.Second,
		DrainGrace:       2 * time.Second,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got settings\n%+v\nwant\n%+v", got, want)
	}
	wantConnections := Connections{Idle: time.Minute, ConnectTimeout: 250 * time.Millisecond, MaxOpen: 100}
	if connections != wantConnections {
		t.Errorf("got connections %+v, want %+v", connections, wantConnections)
	}
}

// Without the platform's permission, there is no Retry-After.
func TestParseWithoutRetryAfter(t *testing.T) {
	got, _, err := Parse([]byte(strings.Replace(object, `"retryAfter": true`, `"retryAfter": false`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if got.MaxRetryAfter != 0 {
		t.Errorf("got max Retry-After %v, want none", got.MaxRetryAfter)
	}
}

// An unknown name is read as the effect or group with the fewest guarantees.
func TestParseUnknownNames(t *testing.T) {
	for name, want := range map[string]policy.Effect{
		"read_like":       policy.Safe,
		"idempotency_key": policy.Keyed,
		"write_like":      policy.Unsafe,
		"":                policy.Unsafe,
	} {
		if got := parseEffect(name); got != want {
			t.Errorf("effect %q: got %v, want %v", name, got, want)
		}
	}
	for name, want := range map[string]policy.Group{
		"all":  policy.GroupAll,
		"zone": policy.GroupZone,
		"rack": policy.GroupCell,
		"":     policy.GroupCell,
	} {
		if got := parseGroup(name); got != want {
			t.Errorf("group %q: got %v, want %v", name, got, want)
		}
	}
}

func TestParseMalformed(t *testing.T) {
	for _, text := range []string{"", "{", `{"me": "one"}`} {
		if _, _, err := Parse([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), "settings: ") {
			t.Errorf("%q: got error %v, want one with prefix \"settings: \"", text, err)
		}
	}
}
