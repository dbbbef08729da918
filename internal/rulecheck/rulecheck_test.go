package rulecheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	s  = time.Second
	ms = time.Millisecond
)

func rules() Rules {
	r := DefaultRules()
	r.Classes = map[string]Effect{"read": Safe, "publish": Keyed, "once": Unsafe}
	r.MinAttempts = map[string]time.Duration{"read": 20 * ms, "publish": 80 * ms, "once": 80 * ms}
	r.Ceilings = map[string]Ceiling{"storby": {Rate: 10, Burst: 20}}
	return r
}

func asked(id, class string, more func(*ClientRequest)) ClientRequest {
	a := ClientRequest{ID: id, Instance: "i0", Class: class, SentAt: 10 * s, Timeout: s, Answers: []Answer{{At: 10*s + s/2, Kind: "served"}}}
	if more != nil {
		more(&a)
	}
	return a
}

func answered(kind string, at time.Duration) func(*ClientRequest) {
	return func(a *ClientRequest) { a.Answers = []Answer{{At: at, Kind: kind}} }
}

func sent(id, class, node string, rack int, at time.Duration) BackendAttempt {
	return BackendAttempt{ArrivedAt: at, EndedAt: at + 40*ms, Instance: "i0", ID: id, Class: class, Backend: node, Rack: rack, Plan: "bygd", Tenant: "c", Units: 1}
}

func busy(x BackendAttempt, ended time.Duration) BackendAttempt {
	x.Busy, x.EndedAt = true, ended
	return x
}

func from(x BackendAttempt, instance string) BackendAttempt {
	x.Instance = instance
	return x
}

// many is n first attempts of a channel under a ceiling, through the instances in turn.
func many(n int, units float64, every time.Duration) (e Evidence) {
	for i := range n {
		id := string(rune('a' + i))
		e.Requests = append(e.Requests, asked(id, "read", func(a *ClientRequest) { a.SentAt, a.Timeout, a.Answers[0].At = 0, time.Minute, time.Minute }))
		x := from(sent(id, "read", "n1", 1, every*time.Duration(i)), fmt.Sprint("i", i%2))
		x.Plan, x.Units = "storby", units
		e.Attempts = append(e.Attempts, x)
	}
	return e
}

// refusals is n refusals of publish, each so long before its time.
func refusals(n int, before time.Duration, more ...BackendAttempt) (e Evidence) {
	for i := range n {
		e.Requests = append(e.Requests, asked(string(rune('a'+i)), "publish", answered("refused", 11*s-before)))
	}
	e.Attempts = more
	return e
}

// Each rule is found broken where it is, and nowhere else.
func TestJudge(t *testing.T) {
	read, once, publish := asked("a", "read", nil), asked("a", "once", nil), asked("a", "publish", nil)
	slow := asked("a", "publish", func(a *ClientRequest) { a.Timeout, a.Answers[0].At = 5*s, 14*s })
	failed, refused := asked("a", "once", answered("failed", 11*s)), asked("a", "once", answered("refused", 11*s))
	one := func(a ClientRequest, sent ...BackendAttempt) Evidence {
		return Evidence{Requests: []ClientRequest{a}, Attempts: sent}
	}
	told := func(e Evidence, told ...Notification) Evidence { e.Notifications = told; return e }
	for name, c := range map[string]struct {
		e    Evidence
		want string
	}{
		"all well":               {one(read, sent("a", "read", "n1", 1, 10*s)), ""},
		"no answer":              {one(asked("a", "read", func(a *ClientRequest) { a.Answers = nil })), NoRequestLost},
		"excused":                {one(asked("a", "read", func(a *ClientRequest) { a.Answers, a.Excused = nil, true })), ""},
		"two answers":            {one(asked("a", "read", func(a *ClientRequest) { a.Answers = append(a.Answers, a.Answers[0]) })), NoRequestLost},
		"late answer":            {one(asked("a", "read", answered("served", 11*s+51*ms))), NoRequestLost},
		"just in time":           {one(asked("a", "read", answered("served", 11*s+49*ms))), ""},
		"another's value":        {one(asked("a", "read", func(a *ClientRequest) { a.ForeignAnswer = true })), NoRequestLost},
		"sent 60 ms after":       {one(read, sent("a", "read", "n1", 1, 10*s+560*ms)), NoRequestLost},
		"sent 40 ms after":       {one(read, sent("a", "read", "n1", 1, 10*s+540*ms)), ""},
		"delayed at its node":    {one(read, func() BackendAttempt { x := sent("a", "read", "n1", 1, 10*s); x.EndedAt = 12 * s; return x }()), ""},
		"sent by nobody":         {Evidence{Attempts: []BackendAttempt{sent("a", "read", "n1", 1, 10*s)}}, NoRequestLost},
		"refused at once":        {refusals(5, 900*ms), ""},
		"refused when hopeless":  {refusals(5, 100*ms), ""},
		"held to the end":        {refusals(5, 20*ms), NoRequestLost},
		"two by chance":          {refusals(2, 20*ms), ""},
		"tried to the end":       {refusals(3, 20*ms, busy(sent("a", "publish", "n1", 1, 10900*ms), 10970*ms), busy(sent("b", "publish", "n1", 1, 10900*ms), 10970*ms)), ""},
		"unsafe again":           {one(once, sent("a", "once", "n1", 1, 10*s), sent("a", "once", "n1", 1, 10*s+1)), NoEffectTwice},
		"unsafe after busy":      {one(once, busy(sent("a", "once", "n1", 1, 10*s), 10*s+ms), sent("a", "once", "n2", 2, 10*s+2*ms)), ""},
		"before it knew of busy": {one(once, busy(sent("a", "once", "n1", 1, 10*s), 10*s+3*ms), sent("a", "once", "n2", 2, 10*s+2*ms)), NoEffectTwice},
		"unsafe failed":          {one(failed, sent("a", "once", "n1", 1, 10*s)), ""},
		"unsafe refused":         {one(refused, sent("a", "once", "n1", 1, 10*s)), NoEffectTwice},
		"refused after busy":     {one(refused, busy(sent("a", "once", "n1", 1, 10*s), 10*s+ms)), ""},
		"keyed refused":          {one(asked("a", "publish", answered("refused", 11*s)), sent("a", "publish", "n1", 1, 10*s)), NoEffectTwice},
		"safe refused":           {one(asked("a", "read", answered("refused", 11*s)), sent("a", "read", "n1", 1, 10*s)), ""},
		"safe again":             {one(read, sent("a", "read", "n1", 1, 10*s), sent("a", "read", "n2", 2, 10*s+1)), ""},
		"keyed in its rack":      {one(slow, sent("a", "publish", "n1", 1, 10*s), sent("a", "publish", "n2", 1, 13*s)), ""},
		"keyed elsewhere":        {one(publish, sent("a", "publish", "n1", 1, 10*s), sent("a", "publish", "n2", 2, 10*s+1)), NoEffectTwice},
		"keyed too late":         {one(slow, sent("a", "publish", "n1", 1, 10*s), sent("a", "publish", "n2", 1, 13*s+100*ms)), NoEffectTwice},
		"drained":                {told(one(read, sent("a", "read", "n1", 1, 10*s)), Notification{8*s - 100*ms, "i0", "n1", false}), Drains},
		"in the grace":           {told(one(read, sent("a", "read", "n1", 1, 10*s)), Notification{8 * s, "i0", "n1", false}), ""},
		"told another":           {told(one(read, sent("a", "read", "n1", 1, 10*s)), Notification{5 * s, "i1", "n1", false}), ""},
		"the third does not": {told(Evidence{
			Requests: []ClientRequest{read, asked("b", "read", nil), asked("c", "read", nil)},
			Attempts: []BackendAttempt{sent("a", "read", "n2", 1, 10*s), from(sent("b", "read", "n2", 1, 10*s), "i1"), from(sent("c", "read", "n1", 1, 10*s), "i2")},
		},
			Notification{5 * s, "i0", "n1", false}, Notification{5 * s, "i1", "n1", false}, Notification{5 * s, "i2", "n1", false}), Drains},
		"serves again": {told(one(read, sent("a", "read", "n1", 1, 10*s)), Notification{5 * s, "i0", "n1", false}, Notification{9 * s, "i0", "n1", true}), ""},
		"fell":         {Evidence{Overloads: []Overload{{Backend: "n1", FellAt: s, Reason: "too much", Pressure: 1.1}}}, SlowStart},
		"stood":        {Evidence{Overloads: []Overload{{Backend: "n1", Pressure: 0.9}}}, ""},
		"under it":     {many(10, 2, ms), ""},
		"within slack": {many(13, 2, ms), ""}, // 26 of 20, slack 6 and 1.5
		"two together": {many(14, 2, ms), Ceilings},
		"as it fills":  {many(20, 4, 400*ms), ""},
		"faster":       {many(20, 4, 200*ms), Ceilings},
	} {
		v := Check(rules(), c.e)
		got := ""
		for _, b := range v.Violations {
			got = b.Rule
		}
		if got != c.want || len(v.Violations) > 1 {
			t.Errorf("%s: %v, want %q", name, v.Violations, c.want)
		}
		if text := v.String(); (c.want == "") != !strings.Contains(text, "BROKEN") {
			t.Errorf("%s: %s", name, text)
		}
		c.e.ObserverDelays = []ObserverDelay{{At: 10 * s, Delay: 2 * s}, {At: 1500 * ms, Delay: 2 * s}}
		if v := Check(rules(), c.e); v.CountCertain() > 0 || v.WorstDelay != 2*s {
			t.Errorf("%s: certain though the observers were late: %v", name, v.Violations)
		}
		c.e.ObserverDelays = []ObserverDelay{{At: time.Hour, Delay: 2 * s}, {At: 10 * s, Delay: 40 * ms}}
		if v := Check(rules(), c.e); v.CountCertain() != len(v.Violations) {
			t.Errorf("%s: doubtful for a lateness at another time, or within the tolerance: %v", name, v.Violations)
		}
	}
}

// The edges tell how near a run came to what is forbidden.
func TestEdges(t *testing.T) {
	cold := sent("a", "read", "n3", 1, 10*s)
	cold.WarmingUp = true
	e := Evidence{
		Requests:      []ClientRequest{asked("a", "read", nil), asked("b", "once", answered("failed", 10*s+900*ms)), asked("c", "publish", answered("refused", 10*s+100*ms)), asked("d", "read", nil)},
		Attempts:      []BackendAttempt{sent("a", "read", "n1", 1, 10*s-ms), cold, sent("b", "once", "n1", 1, 10*s), sent("d", "read", "n2", 1, 10*s)},
		Notifications: []Notification{{At: 7 * s, Instance: "i0", Backend: "n9"}},
		Overloads:     []Overload{{Backend: "n3", Pressure: 0.6}},
	}
	want := Margins{Refused: 1, Tight: 1, Repeats: 1, Withheld: 1, Drains: 1, SlowStartSends: 1, SlowStartPush: 0.6, Ceiling: -1}
	if v := Check(rules(), e); v.Margins != want || !v.Clean() {
		t.Fatalf("%+v, %v", v.Margins, v.Violations)
	}
	v := Check(rules(), many(10, 2, ms))
	if v.Margins.CeilingFor != 1 || v.Margins.Ceiling < -0.01 || v.Margins.Ceiling > 0 {
		t.Fatalf("%+v", v.Margins)
	}
}

// Whatever a run holds, what a ceiling's store cannot hold is found, and nothing else: against a plain replay.
func TestCeilingAgainstReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Evidence
		level, at, over := 20.0, time.Duration(0), 0.0
		for i := range rapid.IntRange(1, 60).Draw(t, "n") {
			at += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * ms
			u := float64(rapid.IntRange(1, 6).Draw(t, "units"))
			id := fmt.Sprint(i)
			x := from(sent(id, "read", "n1", 1, at), fmt.Sprint("i", rapid.IntRange(0, 2).Draw(t, "instance")))
			x.Plan, x.Units = "storby", u
			e.Requests = append(e.Requests, asked(id, "read", func(a *ClientRequest) { a.SentAt, a.Timeout, a.Answers[0].At = 0, time.Hour, time.Hour }))
			e.Attempts = append(e.Attempts, x, x) // a further attempt takes nothing
			if i > 0 {
				level = min(20, level+10*(at-e.Attempts[len(e.Attempts)-3].ArrivedAt).Seconds())
			}
			level -= u
			over = max(over, -level)
		}
		v := Check(rules(), e)
		if broken := len(v.ForRule(Ceilings)) > 0; broken != (over > 7.5) {
			t.Fatalf("%.2f units over: %v", over, v.Violations)
		}
	})
}

// A quota's use is replayed with each try once, and the overrun is what all use together overdraws.
func TestUses(t *testing.T) {
	var list []BackendAttempt
	for i := range 10 {
		x := sent(string(rune('a'+i)), "read", "n1", 1, time.Duration(i)*100*time.Millisecond)
		list = append(list, x, x) // the second is a further attempt
	}
	u := QuotaUses(map[string]Quota{"bygd": {Rate: 1, Burst: 3}}, list)["c"]
	if u.WithinQuota != 3 || u.BeyondQuota != 7 || u.Overrun < 6 || u.Overrun > 6.2 {
		t.Fatalf("%+v", u)
	}
}
