package guard

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hitchspring/policy"
)

const now = 10 * time.Second

// allowed is a first attempt of a request of a class that nothing speaks against.
func allowed(effect policy.Effect) Send {
	return Send{Class: policy.Class{Effect: effect, RepeatWindow: 3 * time.Second}, Parallel: true, GiveUpAt: now + time.Second, Serves: true, Zone: "a", Cell: 1}
}

func TestCheck(t *testing.T) {
	ran := Attempt{Zone: "a", Cell: 1, At: now - time.Second, Ended: true}
	out := Attempt{Zone: "a", Cell: 1, At: now - time.Second}
	never := Attempt{Zone: "b", Cell: 2, At: now - time.Second, Ended: true, NeverRan: true}
	after := func(effect policy.Effect, change func(*Send), earlier ...Attempt) Send {
		s := allowed(effect)
		s.Earlier = earlier
		if change != nil {
			change(&s)
		}
		return s
	}
	inZone := func(s *Send) { s.Class.Group, s.Cell = policy.GroupZone, 7 }
	for name, c := range map[string]struct {
		send Send
		want Invariant
	}{
		"first":                              {after(policy.Unsafe, nil), None},
		"answered":                           {after(policy.Safe, func(s *Send) { s.Answered = true }), SendAfterEnd},
		"at its client's time":               {after(policy.Safe, func(s *Send) { s.GiveUpAt = now }), SendAfterDeadline},
		"to a drained backend":               {after(policy.Safe, func(s *Send) { s.Serves = false }), SendToDrained},
		"unsafe after one that never ran":    {after(policy.Unsafe, nil, never), None},
		"unsafe after one that may have":     {after(policy.Unsafe, nil, never, ran), RepeatOfUnsafe},
		"unsafe beside another":              {after(policy.Unsafe, nil, out), RepeatOfUnsafe},
		"unknown effect":                     {after(policy.Effect(9), nil, ran), RepeatOfUnsafe},
		"safe beside another":                {after(policy.Safe, nil, out), None},
		"safe beside another, not allowed":   {after(policy.Safe, func(s *Send) { s.Parallel = false }, out), TwoAttemptsOut},
		"safe after another, no two allowed": {after(policy.Safe, func(s *Send) { s.Parallel = false }, ran), None},
		"keyed in its cell":                  {after(policy.Keyed, nil, ran), None},
		"keyed in another cell":              {after(policy.Keyed, func(s *Send) { s.Cell = 2 }, ran), RepeatElsewhere},
		"keyed in its zone":                  {after(policy.Keyed, inZone, ran), None},
		"keyed in another zone":              {after(policy.Keyed, func(s *Send) { inZone(s); s.Zone = "b" }, ran), RepeatElsewhere},
		"keyed anywhere":                     {after(policy.Keyed, func(s *Send) { s.Class.Group, s.Zone, s.Cell = policy.GroupAll, "z", 9 }, ran), None},
		"keyed after its window":             {after(policy.Keyed, func(s *Send) { s.Class.RepeatWindow = time.Second - 1 }, ran), RepeatAfterWindow},
		"keyed, the first binds":             {after(policy.Keyed, func(s *Send) { s.Cell = 2 }, never, ran, Attempt{Cell: 2, At: now, Ended: true}), RepeatElsewhere},
	} {
		if got := c.send.Check(now); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Whatever has been before, a request that may not be repeated is not sent after an attempt that may have run, nor refused.
func TestUnsafeIsNeverRepeated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := allowed(policy.Unsafe)
		s.Parallel = rapid.Bool().Draw(t, "parallel")
		mayHave := false
		for range rapid.IntRange(0, 5).Draw(t, "attempts") {
			a := Attempt{Ended: rapid.Bool().Draw(t, "ended"), NeverRan: rapid.Bool().Draw(t, "never ran")}
			mayHave = mayHave || !(a.Ended && a.NeverRan)
			s.Earlier = append(s.Earlier, a)
		}
		if sends := s.Check(now) == None; sends == mayHave {
			t.Fatalf("sends %v after %v", sends, s.Earlier)
		}
		if refuses := MayRefuse(s.Class, s.Earlier); refuses == mayHave {
			t.Fatalf("refuses %v after %v", refuses, s.Earlier)
		}
	})
}

func TestMayRefuse(t *testing.T) {
	ran := []Attempt{{Ended: true}}
	for name, c := range map[string]struct {
		class policy.Class
		want  bool
	}{
		"safe":           {policy.Class{Effect: policy.Safe}, true},
		"keyed in cells": {policy.Class{Effect: policy.Keyed}, false},
		"keyed anywhere": {policy.Class{Effect: policy.Keyed, Group: policy.GroupAll}, true},
	} {
		if got := MayRefuse(c.class, ran); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// All violations are counted, the first of each are logged, under the name that the figures have.
func TestMonitor(t *testing.T) {
	var text bytes.Buffer
	m := NewMonitor(slog.New(slog.NewTextHandler(&text, nil)))
	for range mostLogged + 5 {
		m.Violated(RepeatOfUnsafe, "request", "00ff")
	}
	m.Violated(None)
	if n := m.Count(RepeatOfUnsafe); n != mostLogged+5 {
		t.Errorf("counted %d", n)
	}
	if n := strings.Count(text.String(), `msg="invariant violated" invariant=repeat_of_unsafe request=00ff`); n != mostLogged || strings.Count(text.String(), "\n") != mostLogged {
		t.Errorf("%d lines:\n%s", n, &text)
	}
	var off *Monitor
	off.Violated(OpenAtExit)
	if off.Count(OpenAtExit) != 0 {
		t.Error("a monitor that is none counts")
	}
	if len(Invariants()) != int(invariants)-1 {
		t.Error(Invariants())
	}
}
