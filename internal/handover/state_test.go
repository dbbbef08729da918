package handover

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/policy"
)

const testListen = "127.0.0.1:1"

func exampleState(now time.Duration) State {
	return State{
		Listen: testListen,
		At:     now,
		List:   discovery.List{Rev: 7, Complete: true, Targets: []discovery.Target{{UID: "s0"}}},
		Learned: policy.LearnedState{
			Window:  3,
			Tenants: []policy.LearnedTenant{{Account: "c", Plan: "p", Spread: 2, LeasedUnits: -1, LevelAt: now}},
		},
	}
}

// A state that cannot come from this instance's previous process is rejected as a whole.
func TestDecode(t *testing.T) {
	const now = 100 * time.Hour
	valid, err := Encode(exampleState(now))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Decode(valid, testListen, now+time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if s.Learned.Tenants[0].LeasedUnits != -1 || s.List.Rev != 7 {
		t.Fatalf("got %+v, want -1 leased units and revision 7", s)
	}
	changed := func(change func(*State)) []byte {
		s := exampleState(now)
		change(&s)
		s.Version = max(s.Version, Version)
		data, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for name, test := range map[string]struct {
		data []byte
		want string
	}{
		"empty":         {nil, "EOF"},
		"torn":          {valid[:len(valid)/2], "unexpected EOF"},
		"two values":    {append(bytes.Clone(valid), valid...), "trailing data after the JSON value"},
		"newer":         {changed(func(s *State) { s.Version = Version + 1 }), "version"},
		"other address": {changed(func(s *State) { s.Listen = "127.0.0.1:2" }), "127.0.0.1:2"},
		"old":           {changed(func(s *State) { s.At = now - time.Hour }), "old"},
		"in the future": {changed(func(s *State) { s.At = now + time.Hour }), "old"},
		"in flight":     {changed(func(s *State) { s.Learned.InFlight = 1 << 40 }), "busy"},
		"tenant":        {changed(func(s *State) { s.Learned.Tenants[0].InFlight = -1 }), "open -1"},
		"number":        {changed(func(s *State) { s.Learned.Tenants[0].Level = 1e300 }), "Level"},
		"time":          {changed(func(s *State) { s.Learned.Tenants[0].TotalAt = -5 }), "Looked"},
		"unknown field": {[]byte(`{"version":1,"more":2}`), "more"},
		"too long":      {bytes.Repeat([]byte(" "), maxFileBytes+1), "at most"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Decode(test.data, testListen, now); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one with %q", err, test.want)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	valid, err := Encode(exampleState(time.Hour))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data, testListen, time.Hour)
		if err == nil && (s.Version != Version || s.Listen != testListen) {
			t.Fatalf("got %+v accepted, want an error", s)
		}
		if _, err := decodeOverrides(data, testListen); err != nil {
			return
		}
	})
}
