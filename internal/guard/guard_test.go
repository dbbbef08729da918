package guard

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hitchspring/logic"
)

const now = 10 * time.Second

// allowed is a first attempt of a request of a class that nothing speaks against.
func allowed(effect logic.Effect) Send {
	return Send{Class: logic.Class{Effect: effect, RepeatWindow: 3 * time.Second}, Parallel: true, GiveUpAt: now + time.Second, Serves: true, Zone: "a", Cell: 1}
}

func TestCheck(t *testing.T) {
	ran := Attempt{Zone: "a", Cell: 1, At: now - time.Second, Ended: true}
	out := Attempt{Zone: "a", Cell: 1, At: now - time.Second}
	never := Attempt{Zone: "b", Cell: 2, At: now - time.Second, Ended: true, NeverRan: true}
	after := func(effect logic.Effect, change func(*Send), earlier ...Attempt) Send {
		s := allowed(effect)
		s.Earlier = earlier
		if change != nil {
			change(&s)
		}
		return s
	}
	inZone := func(s *Send) { s.Class.Group, s.Cell = logic.GroupZone, 7 }
	for name, c := range map[string]struct {
		send Send
		want Invariant
	}{
		"first":                              {after(logic.Unsafe, nil), None},
		"answered":                           {after(logic.Safe, func(s *Send) { s.Answered = true }), SendAfterEnd},
		"at its client's time":               {after(logic.Safe, func(s *Send) { s.GiveUpAt = now }), SendAfterDeadline},
		"to a drained backend":               {after(logic.Safe, func(s *Send) { s.Serves = false }), SendToDrained},
		"unsafe after one that never ran":    {after(logic.Unsafe, nil, never), None},
		"unsafe after one that may have":     {after(logic.Unsafe, nil, never, ran), RepeatOfUnsafe},
		"unsafe beside another":              {after(logic.Unsafe, nil, out), RepeatOfUnsafe},
		"unknown effect":                     {after(logic.Effect(9), nil, ran), RepeatOfUnsafe},
		"safe beside another":                {after(logic.Safe, nil, out), None},
		"safe beside another, not allowed":   {after(logic.Safe, func(s *Send) { s.Parallel = false }, out), TwoAttemptsOut},
		"safe after another, no two allowed": {after(logic.Safe, func(s *Send) { s.Parallel = false }, ran), None},
		"keyed in its cell":                  {after(logic.Keyed, nil, ran), None},
		"keyed in another cell":              {after(logic.Keyed, func(s *Send) { s.Cell = 2 }, ran), RepeatElsewhere},
		"keyed in its zone":                  {after(logic.Keyed, inZone, ran), None},
		"keyed in another zone":              {after(logic.Keyed, func(s *Send) { inZone(s); s.Zone = "b" }, ran), RepeatElsewhere},
		"keyed anywhere":                     {after(logic.Keyed, func(s *Send) { s.Class.Group, s.Zone, s.Cell = logic.GroupAll, "z", 9 }, ran), None},
		"keyed after its window":             {after(logic.Keyed, func(s *Send) { s.Class.RepeatWindow = time.Second - 1 }, ran), RepeatAfterWindow},
		"keyed, the first binds":             {after(logic.Keyed, func(s *Send) { s.Cell = 2 }, never, ran, Attempt{Cell: 2, At: now, Ended: true}), RepeatElsewhere},
	} {
		if got := c.send.Check(now); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Whatever has been before, a request that may not be repeated is not sent after an attempt that may have run, nor refused.
func TestUnsafeIsNeverRepeated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := allowed(logic.Unsafe)
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
		class logic.Class
		want  bool
	}{
		"safe":           {logic.Class{Effect: logic.Safe}, true},
		"keyed in cells": {logic.Class{Effect: logic.Keyed}, false},
		"keyed anywhere": {logic.Class{Effect: logic.Keyed, Group: logic.GroupAll}, true},
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
