package audit

import (
	"strings"
	"testing"
	"time"
)

const s = time.Second

func rules() Rules {
	r := Usual()
	r.Classes = map[string]Effect{"read": Safe, "publish": Keyed, "once": Unsafe}
	r.Ceilings = map[string]Ceiling{"storby": {Rate: 10, Burst: 20}}
	return r
}

func asked(id string, more func(*Asked)) Asked {
	a := Asked{ID: id, Instance: "i0", Class: "read", Sent: 10 * s, GiveUp: s, Answers: []Answer{{At: 10*s + s/2, Kind: "served"}}}
	if more != nil {
		more(&a)
	}
	return a
}

func sent(id, class, node string, rack int, at time.Duration) Sent {
	return Sent{At: at, ID: id, Class: class, Node: node, Rack: rack, Plan: "bygd", Customer: "c", Units: 1}
}

// Each rule is found broken where it is, and nowhere else.
func TestJudge(t *testing.T) {
	busy := sent("a", "once", "n1", 1, 10*s)
	busy.Busy = true
	many := func(n int, units float64, every time.Duration) (e Evidence) {
		for i := range n {
			id := string(rune('a' + i))
			e.Asked = append(e.Asked, asked(id, func(a *Asked) { a.Sent, a.GiveUp, a.Answers[0].At = 0, time.Minute, time.Minute }))
			x := sent(id, "read", "n1", 1, every*time.Duration(i))
			x.Plan, x.Units = "storby", units
			e.Sent = append(e.Sent, x)
		}
		return e
	}
	for name, c := range map[string]struct {
		e    Evidence
		want string
	}{
		"all well":          {Evidence{Asked: []Asked{asked("a", nil)}, Sent: []Sent{sent("a", "read", "n1", 1, 10*s)}}, ""},
		"no answer":         {Evidence{Asked: []Asked{asked("a", func(a *Asked) { a.Answers = nil })}}, NoneLost},
		"excused":           {Evidence{Asked: []Asked{asked("a", func(a *Asked) { a.Answers, a.Excused = nil, true })}}, ""},
		"two answers":       {Evidence{Asked: []Asked{asked("a", func(a *Asked) { a.Answers = append(a.Answers, a.Answers[0]) })}}, NoneLost},
		"late answer":       {Evidence{Asked: []Asked{asked("a", func(a *Asked) { a.Answers[0].At = 11*s + 51*time.Millisecond })}}, NoneLost},
		"just in time":      {Evidence{Asked: []Asked{asked("a", func(a *Asked) { a.Answers[0].At = 11*s + 49*time.Millisecond })}}, ""},
		"another's value":   {Evidence{Asked: []Asked{asked("a", func(a *Asked) { a.Spoilt = true })}}, NoneLost},
		"sent after answer": {Evidence{Asked: []Asked{asked("a", nil)}, Sent: []Sent{sent("a", "read", "n1", 1, 10*s+600*time.Millisecond)}}, NoneLost},
		"sent by nobody":    {Evidence{Sent: []Sent{sent("a", "read", "n1", 1, 10*s)}}, NoneLost},
		"unsafe again":      {Evidence{Asked: []Asked{asked("a", nil)}, Sent: []Sent{sent("a", "once", "n1", 1, 10*s), sent("a", "once", "n1", 1, 10*s+1)}}, NoneTwice},
		"unsafe after busy": {Evidence{Asked: []Asked{asked("a", nil)}, Sent: []Sent{busy, sent("a", "once", "n2", 1, 10*s+1)}}, ""},
		"safe again":        {Evidence{Asked: []Asked{asked("a", nil)}, Sent: []Sent{sent("a", "read", "n1", 1, 10*s), sent("a", "read", "n2", 2, 10*s+1)}}, ""},
		"keyed in its rack": {Evidence{Asked: []Asked{asked("a", func(a *Asked) { a.GiveUp, a.Answers[0].At = 5*s, 14*s })},
			Sent: []Sent{sent("a", "publish", "n1", 1, 10*s), sent("a", "publish", "n2", 1, 13*s)}}, ""},
		"keyed elsewhere": {Evidence{Asked: []Asked{asked("a", nil)}, Sent: []Sent{sent("a", "publish", "n1", 1, 10*s), sent("a", "publish", "n2", 2, 10*s+1)}}, NoneTwice},
		"keyed too late": {Evidence{Asked: []Asked{asked("a", func(a *Asked) { a.GiveUp, a.Answers[0].At = 5*s, 14*s })},
			Sent: []Sent{sent("a", "publish", "n1", 1, 10*s), sent("a", "publish", "n2", 1, 13*s+100*time.Millisecond)}}, NoneTwice},
		"drained": {Evidence{Asked: []Asked{asked("a", nil)}, Sent: []Sent{sent("a", "read", "n1", 1, 10*s)},
			Told: []Told{{8*s - 100*time.Millisecond, "i0", "n1", false}}}, Drains},
		"in the grace": {Evidence{Asked: []Asked{asked("a", nil)}, Sent: []Sent{sent("a", "read", "n1", 1, 10*s)}, Told: []Told{{8 * s, "i0", "n1", false}}}, ""},
		"told another": {Evidence{Asked: []Asked{asked("a", nil)}, Sent: []Sent{sent("a", "read", "n1", 1, 10*s)}, Told: []Told{{5 * s, "i1", "n1", false}}}, ""},
		"serves again": {Evidence{Asked: []Asked{asked("a", nil)}, Sent: []Sent{sent("a", "read", "n1", 1, 10*s)},
			Told: []Told{{5 * s, "i0", "n1", false}, {9 * s, "i0", "n1", true}}}, ""},
		"fell":           {Evidence{Fell: []string{"n1"}}, Cold},
		"under ceiling":  {many(10, 2, time.Millisecond), ""},
		"within slack":   {many(13, 2, time.Millisecond), ""}, // 26 of 20, slack 6 and 1.5
		"over ceiling":   {many(14, 2, time.Millisecond), Ceilings},
		"as it fills":    {many(20, 4, 400*time.Millisecond), ""},
		"faster than it": {many(20, 4, 200*time.Millisecond), Ceilings},
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
	}
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
