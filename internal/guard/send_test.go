package guard

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hitchspring/policy"
)

const now = 10 * time.Second

// allowedSend returns the first attempt of a request, which violates no invariant.
func allowedSend(effect policy.Effect) Send {
	return Send{
		Class:          policy.Class{Effect: effect, RepeatWindow: 3 * time.Second},
		Parallel:       true,
		GiveUpAt:       now + time.Second,
		BackendRunning: true,
		Zone:           "a",
		Cell:           1,
	}
}

func TestCheck(t *testing.T) {
	ran := Attempt{Zone: "a", Cell: 1, At: now - time.Second, Ended: true}
	inFlight := Attempt{Zone: "a", Cell: 1, At: now - time.Second}
	neverRan := Attempt{Zone: "b", Cell: 2, At: now - time.Second, Ended: true, NeverRan: true}
	ranInOtherCell := Attempt{Cell: 2, At: now, Ended: true}

	unchanged := func(*Send) {}
	notParallel := func(s *Send) { s.Parallel = false }
	otherCell := func(s *Send) { s.Cell = 2 }
	groupZone := func(s *Send) { s.Class.Group, s.Cell = policy.GroupZone, 7 }
	otherZone := func(s *Send) { groupZone(s); s.Zone = "b" }
	groupAll := func(s *Send) { s.Class.Group, s.Zone, s.Cell = policy.GroupAll, "z", 9 }

	for name, c := range map[string]struct {
		effect  policy.Effect
		change  func(*Send)
		earlier []Attempt
		want    Invariant
	}{
		"first":           {policy.Unsafe, unchanged, nil, None},
		"answered":        {policy.Safe, func(s *Send) { s.Answered = true }, nil, SendAfterAnswer},
		"at its deadline": {policy.Safe, func(s *Send) { s.GiveUpAt = now }, nil, SendAfterDeadline},
		"to a drained backend": {
			policy.Safe, func(s *Send) { s.BackendRunning = false }, nil, SendToNonRunning,
		},
		"unsafe after one that never ran": {policy.Unsafe, unchanged, []Attempt{neverRan}, None},
		"unsafe after one that may have run": {
			policy.Unsafe, unchanged, []Attempt{neverRan, ran}, RetryOfNonIdempotent,
		},
		"unsafe while another is in flight": {policy.Unsafe, unchanged, []Attempt{inFlight}, RetryOfNonIdempotent},
		"unknown effect":                    {policy.Effect(9), unchanged, []Attempt{ran}, RetryOfNonIdempotent},
		"safe while another is in flight":   {policy.Safe, unchanged, []Attempt{inFlight}, None},
		"safe while another is in flight, not parallel": {
			policy.Safe, notParallel, []Attempt{inFlight}, TwoAttemptsInFlight,
		},
		"safe after another has ended, not parallel": {policy.Safe, notParallel, []Attempt{ran}, None},
		"keyed in its cell":                          {policy.Keyed, unchanged, []Attempt{ran}, None},
		"keyed in another cell":                      {policy.Keyed, otherCell, []Attempt{ran}, RetryOutsideScope},
		"keyed in its zone":                          {policy.Keyed, groupZone, []Attempt{ran}, None},
		"keyed in another zone":                      {policy.Keyed, otherZone, []Attempt{ran}, RetryOutsideScope},
		"keyed anywhere":                             {policy.Keyed, groupAll, []Attempt{ran}, None},
		"keyed after its window": {
			policy.Keyed, func(s *Send) { s.Class.RepeatWindow = time.Second - 1 },
			[]Attempt{ran},
			RetryAfterScopeExpiry,
		},
		"keyed, outside the cell of the first that may have run": {
			policy.Keyed, otherCell, []Attempt{neverRan, ran, ranInOtherCell}, RetryOutsideScope,
		},
	} {
		t.Run(name, func(t *testing.T) {
			send := allowedSend(c.effect)
			send.Earlier = c.earlier
			c.change(&send)
			if got := send.Check(now); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Whatever its earlier attempts, a non-idempotent request is neither sent again nor rejected after an attempt that may
// have run.
func TestNonIdempotentRequestIsNeverRetried(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		send := allowedSend(policy.Unsafe)
		send.Parallel = rapid.Bool().Draw(t, "parallel")
		mayHaveRun := false
		for range rapid.IntRange(0, 5).Draw(t, "attempts") {
			a := Attempt{Ended: rapid.Bool().Draw(t, "ended"), NeverRan: rapid.Bool().Draw(t, "never ran")}
			mayHaveRun = mayHaveRun || !a.Ended || !a.NeverRan
			send.Earlier = append(send.Earlier, a)
		}
		if allowed := send.Check(now) == None; allowed == mayHaveRun {
			t.Fatalf("got a send allowed %v after %v, want %v", allowed, send.Earlier, !mayHaveRun)
		}
		if allowed := MayReject(send.Class, send.Earlier); allowed == mayHaveRun {
			t.Fatalf("got a rejection allowed %v after %v, want %v", allowed, send.Earlier, !mayHaveRun)
		}
	})
}

func TestMayReject(t *testing.T) {
	ran := []Attempt{{Ended: true}}
	for name, c := range map[string]struct {
		class policy.Class
		want  bool
	}{
		"safe":           {policy.Class{Effect: policy.Safe}, true},
		"keyed in cells": {policy.Class{Effect: policy.Keyed}, false},
		"keyed anywhere": {policy.Class{Effect: policy.Keyed, Group: policy.GroupAll}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := MayReject(c.class, ran); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
