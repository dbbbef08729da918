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
	r := Usual()
	r.Classes = map[string]Effect{"read": Safe, "publish": Keyed, "once": Unsafe}
	r.Least = map[string]time.Duration{"read": 20 * ms, "publish": 80 * ms, "once": 80 * ms}
	r.Ceilings = map[string]Ceiling{"storby": {Rate: 10, Burst: 20}}
	return r
}

func asked(id, class string, more func(*Asked)) Asked {
	a := Asked{ID: id, Instance: "i0", Class: class, Sent: 10 * s, GiveUp: s, Answers: []Answer{{At: 10*s + s/2, Kind: "served"}}}
	if more != nil {
		more(&a)
	}
	return a
}

func answered(kind string, at time.Duration) func(*Asked) {
	return func(a *Asked) { a.Answers = []Answer{{At: at, Kind: kind}} }
}

func sent(id, class, node string, rack int, at time.Duration) Sent {
	return Sent{Came: at, Ended: at + 40*ms, Instance: "i0", ID: id, Class: class, Node: node, Rack: rack, Plan: "bygd", Customer: "c", Units: 1}
}

func busy(x Sent, ended time.Duration) Sent {
	x.Busy, x.Ended = true, ended
	return x
}

func from(x Sent, instance string) Sent {
	x.Instance = instance
	return x
}

// many is n first attempts of a channel under a ceiling, through the instances in turn.
func many(n int, units float64, every time.Duration) (e Evidence) {
	for i := range n {
		id := string(rune('a' + i))
		e.Asked = append(e.Asked, asked(id, "read", func(a *Asked) { a.Sent, a.GiveUp, a.Answers[0].At = 0, time.Minute, time.Minute }))
		x := from(sent(id, "read", "n1", 1, every*time.Duration(i)), fmt.Sprint("i", i%2))
		x.Plan, x.Units = "storby", units
		e.Sent = append(e.Sent, x)
	}
	return e
}

// refusals is n refusals of publish, each so long before its time.
func refusals(n int, before time.Duration, more ...Sent) (e Evidence) {
	for i := range n {
		e.Asked = append(e.Asked, asked(string(rune('a'+i)), "publish", answered("refused", 11*s-before)))
	}
	e.Sent = more
	return e
}

// Each rule is found broken where it is, and nowhere else.
func TestJudge(t *testing.T) {
	read, once, publish := asked("a", "read", nil), asked("a", "once", nil), asked("a", "publish", nil)
	slow := asked("a", "publish", func(a *Asked) { a.GiveUp, a.Answers[0].At = 5*s, 14*s })
	failed, refused := asked("a", "once", answered("failed", 11*s)), asked("a", "once", answered("refused", 11*s))
	one := func(a Asked, sent ...Sent) Evidence { return Evidence{Asked: []Asked{a}, Sent: sent} }
	told := func(e Evidence, told ...Told) Evidence { e.Told = told; return e }
	for name, c := range map[string]struct {
		e    Evidence
		want string
	}{
		"all well":               {one(read, sent("a", "read", "n1", 1, 10*s)), ""},
		"no answer":              {one(asked("a", "read", func(a *Asked) { a.Answers = nil })), NoneLost},
		"excused":                {one(asked("a", "read", func(a *Asked) { a.Answers, a.Excused = nil, true })), ""},
		"two answers":            {one(asked("a", "read", func(a *Asked) { a.Answers = append(a.Answers, a.Answers[0]) })), NoneLost},
		"late answer":            {one(asked("a", "read", answered("served", 11*s+51*ms))), NoneLost},
		"just in time":           {one(asked("a", "read", answered("served", 11*s+49*ms))), ""},
		"another's value":        {one(asked("a", "read", func(a *Asked) { a.Spoilt = true })), NoneLost},
		"sent 60 ms after":       {one(read, sent("a", "read", "n1", 1, 10*s+560*ms)), NoneLost},
		"sent 40 ms after":       {one(read, sent("a", "read", "n1", 1, 10*s+540*ms)), ""},
		"delayed at its node":    {one(read, func() Sent { x := sent("a", "read", "n1", 1, 10*s); x.Ended = 12 * s; return x }()), ""},
		"sent by nobody":         {Evidence{Sent: []Sent{sent("a", "read", "n1", 1, 10*s)}}, NoneLost},
		"refused at once":        {refusals(5, 900*ms), ""},
		"refused when hopeless":  {refusals(5, 100*ms), ""},
		"held to the end":        {refusals(5, 20*ms), NoneLost},
		"two by chance":          {refusals(2, 20*ms), ""},
		"tried to the end":       {refusals(3, 20*ms, busy(sent("a", "publish", "n1", 1, 10900*ms), 10970*ms), busy(sent("b", "publish", "n1", 1, 10900*ms), 10970*ms)), ""},
		"unsafe again":           {one(once, sent("a", "once", "n1", 1, 10*s), sent("a", "once", "n1", 1, 10*s+1)), NoneTwice},
		"unsafe after busy":      {one(once, busy(sent("a", "once", "n1", 1, 10*s), 10*s+ms), sent("a", "once", "n2", 2, 10*s+2*ms)), ""},
		"before it knew of busy": {one(once, busy(sent("a", "once", "n1", 1, 10*s), 10*s+3*ms), sent("a", "once", "n2", 2, 10*s+2*ms)), NoneTwice},
		"unsafe failed":          {one(failed, sent("a", "once", "n1", 1, 10*s)), ""},
		"unsafe refused":         {one(refused, sent("a", "once", "n1", 1, 10*s)), NoneTwice},
		"refused after busy":     {one(refused, busy(sent("a", "once", "n1", 1, 10*s), 10*s+ms)), ""},
		"keyed refused":          {one(asked("a", "publish", answered("refused", 11*s)), sent("a", "publish", "n1", 1, 10*s)), NoneTwice},
		"safe refused":           {one(asked("a", "read", answered("refused", 11*s)), sent("a", "read", "n1", 1, 10*s)), ""},
		"safe again":             {one(read, sent("a", "read", "n1", 1, 10*s), sent("a", "read", "n2", 2, 10*s+1)), ""},
		"keyed in its rack":      {one(slow, sent("a", "publish", "n1", 1, 10*s), sent("a", "publish", "n2", 1, 13*s)), ""},
		"keyed elsewhere":        {one(publish, sent("a", "publish", "n1", 1, 10*s), sent("a", "publish", "n2", 2, 10*s+1)), NoneTwice},
		"keyed too late":         {one(slow, sent("a", "publish", "n1", 1, 10*s), sent("a", "publish", "n2", 1, 13*s+100*ms)), NoneTwice},
		"drained":                {told(one(read, sent("a", "read", "n1", 1, 10*s)), Told{8*s - 100*ms, "i0", "n1", false}), Drains},
		"in the grace":           {told(one(read, sent("a", "read", "n1", 1, 10*s)), Told{8 * s, "i0", "n1", false}), ""},
		"told another":           {told(one(read, sent("a", "read", "n1", 1, 10*s)), Told{5 * s, "i1", "n1", false}), ""},
		"the third does not": {told(Evidence{
			Asked: []Asked{read, asked("b", "read", nil), asked("c", "read", nil)},
			Sent:  []Sent{sent("a", "read", "n2", 1, 10*s), from(sent("b", "read", "n2", 1, 10*s), "i1"), from(sent("c", "read", "n1", 1, 10*s), "i2")},
		},
			Told{5 * s, "i0", "n1", false}, Told{5 * s, "i1", "n1", false}, Told{5 * s, "i2", "n1", false}), Drains},
		"serves again": {told(one(read, sent("a", "read", "n1", 1, 10*s)), Told{5 * s, "i0", "n1", false}, Told{9 * s, "i0", "n1", true}), ""},
		"fell":         {Evidence{Cold: []ColdNode{{Node: "n1", At: s, Why: "too much", Pushed: 1.1}}}, Cold},
		"stood":        {Evidence{Cold: []ColdNode{{Node: "n1", Pushed: 0.9}}}, ""},
		"under it":     {many(10, 2, ms), ""},
		"within slack": {many(13, 2, ms), ""}, // 26 of 20, slack 6 and 1.5
		"two together": {many(14, 2, ms), Ceilings},
		"as it fills":  {many(20, 4, 400*ms), ""},
		"faster":       {many(20, 4, 200*ms), Ceilings},
	} {
		v := Judge(rules(), c.e)
		got := ""
		for _, b := range v.Breaks {
			got = b.Rule
		}
		if got != c.want || len(v.Breaks) > 1 {
			t.Errorf("%s: %v, want %q", name, v.Breaks, c.want)
		}
		if text := v.String(); (c.want == "") != !strings.Contains(text, "BROKEN") {
			t.Errorf("%s: %s", name, text)
		}
		c.e.Late = []Late{{At: 10 * s, By: 2 * s}, {At: 1500 * ms, By: 2 * s}}
		if v := Judge(rules(), c.e); v.Certain() > 0 || v.Late != 2*s {
			t.Errorf("%s: certain though the observers were late: %v", name, v.Breaks)
		}
		c.e.Late = []Late{{At: time.Hour, By: 2 * s}, {At: 10 * s, By: 40 * ms}}
		if v := Judge(rules(), c.e); v.Certain() != len(v.Breaks) {
			t.Errorf("%s: doubtful for a lateness at another time, or within the tolerance: %v", name, v.Breaks)
		}
	}
}

// The edges tell how near a run came to what is forbidden.
func TestEdges(t *testing.T) {
	cold := sent("a", "read", "n3", 1, 10*s)
	cold.Cold = true
	e := Evidence{
		Asked: []Asked{asked("a", "read", nil), asked("b", "once", answered("failed", 10*s+900*ms)), asked("c", "publish", answered("refused", 10*s+100*ms)), asked("d", "read", nil)},
		Sent:  []Sent{sent("a", "read", "n1", 1, 10*s-ms), cold, sent("b", "once", "n1", 1, 10*s), sent("d", "read", "n2", 1, 10*s)},
		Told:  []Told{{At: 7 * s, Instance: "i0", Node: "n9"}},
		Cold:  []ColdNode{{Node: "n3", Pushed: 0.6}},
	}
	want := Edges{Refused: 1, Tight: 1, Repeats: 1, HeldBack: 1, Drains: 1, ColdSends: 1, ColdPush: 0.6, Ceiling: -1}
	if v := Judge(rules(), e); v.Edges != want || !v.Clean() {
		t.Fatalf("%+v, %v", v.Edges, v.Breaks)
	}
	v := Judge(rules(), many(10, 2, ms))
	if v.Edges.CeilingFor != 1 || v.Edges.Ceiling < -0.01 || v.Edges.Ceiling > 0 {
		t.Fatalf("%+v", v.Edges)
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
			e.Asked = append(e.Asked, asked(id, "read", func(a *Asked) { a.Sent, a.GiveUp, a.Answers[0].At = 0, time.Hour, time.Hour }))
			e.Sent = append(e.Sent, x, x) // a further attempt takes nothing
			if i > 0 {
				level = min(20, level+10*(at-e.Sent[len(e.Sent)-3].Came).Seconds())
			}
			level -= u
			over = max(over, -level)
		}
		v := Judge(rules(), e)
		if broken := len(v.Of(Ceilings)) > 0; broken != (over > 7.5) {
			t.Fatalf("%.2f units over: %v", over, v.Breaks)
		}
	})
}

// A quota's use is replayed with each try once, and the overrun is what all use together overdraws.
func TestUses(t *testing.T) {
	var list []Sent
	for i := range 10 {
		x := sent(string(rune('a'+i)), "read", "n1", 1, time.Duration(i)*100*time.Millisecond)
		list = append(list, x, x) // the second is a further attempt
	}
	u := Uses(map[string]Quota{"bygd": {Rate: 1, Burst: 3}}, list)["c"]
	if u.Inside != 3 || u.Beyond != 7 || u.Overrun < 6 || u.Overrun > 6.2 {
		t.Fatalf("%+v", u)
	}
}
