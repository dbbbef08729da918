package takeover

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var (
	halls = map[string]string{"a": "x", "b": "y", "c": "z"}
	all3  = []Member{{"a", "x"}, {"b", "y"}, {"c", "z"}}
)

// place is where an instance would send a new try: each to a rack of its own, which is the worst case.
func place(name string) Scope { return Scope{Rack: int(name[0]), Zone: halls[name]} }

// packet is a message on its way.
type packet struct {
	from, to string
	msg      Message
}

// state is three instances, what is on its way between them, and what nodes have seen.
type state struct {
	now     time.Duration
	desks   map[string]*Coordinator
	net     []packet
	sent    map[string]Scope  // attempts out, by instance and try
	waits   map[string]string // what a client of a try waits for, by instance and try; its end where it has one
	effects map[int]int       // attempts that ran, by rack
	loose   bool              // something went out uncovered: nothing is promised
	dead    map[string]bool
	budget  budget
	plant   string
	accept  bool     // the first try waits at its instance before it goes out
	path    []string // the steps that led here
}

// budget is what may still go wrong on a path.
type budget struct{ lost, twice, crash, deaths, ticks, retries int }

const key = "customer/key"

func work() Work {
	return Work{Key: key, Class: "publish", Plan: "p", Tenant: "c", Units: 1, IdempotencyWindow: 3 * time.Second, Command: [][]byte{[]byte("x")}}
}

func begin(plant string, b budget) *state { return beginAt(plant, b, false) }

func beginAt(plant string, b budget, accept bool) *state {
	s := &state{accept: accept, now: time.Hour, desks: map[string]*Coordinator{}, sent: map[string]Scope{}, waits: map[string]string{}, effects: map[int]int{}, dead: map[string]bool{}, budget: b, plant: plant}
	for _, m := range all3 {
		s.desks[m.Name] = s.desk(m)
	}
	s.try("a", 1)
	return s
}

func (s *state) desk(m Member) *Coordinator {
	d := NewCoordinator(m, 1, nil)
	d.SetMembers(all3)
	return d
}

// clone copies all that a step may change.
func (s *state) clone() *state {
	c := *s
	c.desks = map[string]*Coordinator{}
	for n, d := range s.desks {
		e := *d
		e.clock = func(string) time.Duration { return c.now }
		e.hands = map[uint64]*hand{}
		for t, h := range d.hands {
			g := *h
			g.keepers = slices.Clone(h.keepers)
			if h.end != nil {
				end := *h.end
				g.end = &end
			}
			e.hands[t] = &g
		}
		k := *d.keeper
		k.records, k.gone = map[string]*record{}, maps.Clone(d.keeper.gone)
		for x, r := range d.keeper.records {
			q := *r
			q.waiting = slices.Clone(r.waiting)
			k.records[x] = &q
		}
		e.keeper = &k
		e.late = maps.Clone(d.late)
		c.desks[n] = &e
	}
	c.net, c.sent, c.waits, c.effects, c.dead = slices.Clone(s.net), maps.Clone(s.sent), maps.Clone(s.waits), maps.Clone(s.effects), maps.Clone(s.dead)
	return &c
}

func (s *state) hash() uint64 {
	b := make([]byte, 0, 2048)
	num := func(v ...int64) {
		for _, x := range v {
			b = strconv.AppendInt(append(b, ' '), x, 36)
		}
	}
	yes := func(v ...bool) {
		for _, x := range v {
			b = strconv.AppendBool(append(b, ' '), x)
		}
	}
	str := func(v ...string) {
		for _, x := range v {
			b = append(append(b, ' '), x...)
		}
	}
	u := s.budget
	num(int64(s.now), int64(u.lost), int64(u.twice), int64(u.crash), int64(u.deaths), int64(u.ticks), int64(u.retries))
	yes(s.loose)
	for _, k := range slices.Sorted(maps.Keys(s.sent)) {
		str(k)
		num(int64(s.sent[k].Rack))
	}
	for _, k := range slices.Sorted(maps.Keys(s.waits)) {
		str(k, s.waits[k])
	}
	for _, k := range slices.Sorted(maps.Keys(s.effects)) {
		num(int64(k))
	}
	var net []string
	for _, p := range s.net {
		net = append(net, p.from+p.to+describe(p.msg))
	}
	slices.Sort(net)
	str(net...)
	for _, n := range []string{"a", "b", "c"} {
		d := s.desks[n]
		str("|", n)
		yes(s.dead[n])
		str(slices.Sorted(maps.Keys(d.keeper.gone))...)
		for _, t := range slices.Sorted(maps.Keys(d.hands)) {
			h := d.hands[t]
			num(int64(h.try), int64(h.epoch), int64(h.n), int64(h.at.Rack), int64(h.began), int64(h.asked))
			yes(h.waits, h.covers, h.joined, h.bound, h.end != nil)
			str(h.keepers...)
			yes(h.heard...)
			for _, r := range h.replied {
				if r != nil {
					num(int64(r.Kind), int64(r.Epoch))
				}
			}
		}
		for _, r := range d.keeper.records {
			str("r", r.owner)
			num(int64(r.try), int64(r.epoch), int64(r.at.Rack), int64(r.began), int64(r.answer.Kind))
			yes(r.ended, r.orphaned)
			for _, w := range r.waiting {
				str(w.name)
				num(int64(w.try))
			}
		}
	}
	f := fnv.New64a()
	f.Write(b)
	return f.Sum64()
}

func describe(m Message) string {
	switch {
	case m.Intent != nil:
		return "i" + strconv.Itoa(int(m.Intent.Attempt)) + "." + strconv.Itoa(int(m.Intent.Epoch)) + "." + strconv.Itoa(m.Intent.Scope.Rack) + first(m.Intent.Replicas)
	case m.Reply != nil:
		s := "r" + strconv.Itoa(int(m.Reply.Attempt)) + "." + strconv.Itoa(int(m.Reply.Kind)) + "." + strconv.Itoa(int(m.Reply.Epoch)) + m.Reply.Primary
		if m.Reply.Answer != nil {
			s += "." + strconv.Itoa(int(m.Reply.Answer.Kind))
		}
		return s
	case m.Completion != nil:
		return fmt.Sprint("end ", m.Completion.Attempt, m.Completion.Epoch, m.Completion.Answer.Kind)
	case m.CompletionAck != nil:
		return fmt.Sprint("ended ", m.CompletionAck.Attempt)
	}
	return fmt.Sprint("told ", m.Notification.Attempt, m.Notification.Answer.Kind)
}

// try begins a client's try at an instance.
func (s *state) try(name string, try uint64) {
	d := s.desks[name]
	d.clock = func(string) time.Duration { return s.now }
	s.waits[fmt.Sprint(name, try)] = "waits"
	at := place(name)
	if s.accept && try == 1 {
		at = ScopeNone
	}
	d.RequestSend(s.now, work(), try, at, s.now+2*time.Second)
	if s.plant == "does not wait" {
		s.send(name, try, place(name), true)
	}
	s.drain(name)
}

// send is an attempt that goes out, and runs at its node at some moment: at once is the worst.
func (s *state) send(name string, try uint64, at Scope, covered bool) {
	s.loose = s.loose || !covered
	s.sent[fmt.Sprint(name, try)] = at
	s.effects[at.Rack]++
}

// drain does what a desk says.
func (s *state) drain(name string) {
	d := s.desks[name]
	for range 8 {
		out, acts := d.Drain()
		for _, o := range out {
			if o.To == name {
				panic("a message to itself")
			}
			s.net = append(s.net, packet{name, o.To, o.Message})
		}
		if len(acts) == 0 {
			return
		}
		for _, a := range acts {
			id := fmt.Sprint(name, a.Attempt)
			switch a.Kind {
			case ActionSend:
				if h := d.hands[a.Attempt]; h != nil && h.at == ScopeNone && s.plant != "sends from nowhere" {
					if h.covers { // else it waits on: nobody has it
						d.MigrateAttempt(s.now, a.Attempt, place(name))
						continue
					}
				}
				if _, out := s.sent[id]; !out {
					d.AttemptSent(s.now, a.Attempt)
					s.send(name, a.Attempt, place(name), a.Covered)
				}
			case ActionAdopt:
				at := a.Scope
				if s.plant == "goes elsewhere" {
					at = place(name)
				}
				s.send(name, a.Attempt, at, a.Covered)
			case ActionTakeOver:
				if a.Taken.Scope == ScopeNone {
					s.waits[id+" taken"] = "waits"
					if s.plant == "takes unasked" {
						s.send(name, a.Attempt, place(name), true)
						continue
					}
					d.MigrateAttempt(s.now, a.Attempt, place(name))
					continue
				}
				s.send(name, a.Attempt, a.Taken.Scope, true)
				s.waits[id+" taken"] = "waits"
			case ActionUseAnswer:
				s.answered(id, a.Answer)
			case ActionRestart:
				d.RequestSend(s.now, work(), a.Attempt, place(name), s.now+2*time.Second)
			case ActionAbort:
				s.waits[id] = "halted"
			}
		}
	}
}

func (s *state) answered(id string, a Answer) {
	s.waits[id] = fmt.Sprint(a.Kind, string(a.Value))
}

// steps are all states that may come next.
func (s *state) steps() (out []*state) {
	do := func(what string, f func(c *state)) {
		c := s.clone()
		c.path = append(slices.Clone(s.path), what)
		for _, d := range c.desks {
			d.clock = func(string) time.Duration { return c.now }
		}
		f(c)
		out = append(out, c)
	}
	seen := map[string]bool{}
	for i, p := range s.net {
		if k := p.from + p.to + describe(p.msg); seen[k] {
			continue
		} else {
			seen[k] = true
		}
		deliver := func(c *state, keep bool) {
			if !keep {
				c.net = slices.Delete(c.net, i, i+1)
			}
			if !c.dead[p.to] {
				c.desks[p.to].Receive(c.now, p.from, 1, p.msg)
				c.drain(p.to)
			}
		}
		do("deliver "+p.from+p.to+describe(p.msg), func(c *state) { deliver(c, false) })
		if s.budget.lost > 0 {
			do("lose "+p.from+p.to+describe(p.msg), func(c *state) { c.budget.lost--; c.net = slices.Delete(c.net, i, i+1) })
		}
		if s.budget.twice > 0 {
			do("twice "+p.from+p.to+describe(p.msg), func(c *state) { c.budget.twice--; deliver(c, true) })
		}
	}
	if s.budget.crash > 0 {
		for _, n := range []string{"a", "b"} {
			if !s.dead[n] {
				do("crash "+n, func(c *state) { c.budget.crash--; c.dead[n] = true })
			}
		}
	}
	for _, who := range []string{"a", "b", "c"} { // a death is learned by one and then by another; of the living it is false
		for _, of := range []string{"a", "b", "c"} {
			if _, knows := s.desks[who].keeper.gone[of]; who == of || s.dead[who] || knows || !s.dead[of] && s.budget.deaths == 0 {
				continue
			}
			do(who+" holds "+of+" to be dead", func(c *state) {
				if !c.dead[of] {
					c.budget.deaths--
				}
				d := c.desks[who]
				d.MemberLeft(c.now, of, 1)
				c.drain(who)
			})
		}
	}
	if s.budget.retries > 0 {
		do("retry at c", func(c *state) { c.budget.retries--; c.try("c", 2) })
	}
	for _, id := range slices.Sorted(maps.Keys(s.sent)) { // an attempt's answer comes, or it fails
		name, try := id[:1], uint64(id[1]-'0')
		if s.dead[name] || s.waits[id+" over"] != "" {
			continue
		}
		for _, kind := range []AnswerKind{AnswerServed, AnswerFailed} {
			do("end "+id, func(c *state) {
				c.waits[id+" over"] = "yes"
				a := Answer{Kind: kind}
				if kind == AnswerServed {
					a.Value = []byte("value")
				}
				c.desks[name].Complete(c.now, try, a)
				if c.waits[id] == "waits" {
					c.answered(id, a)
				}
				c.drain(name)
			})
		}
	}
	if s.budget.ticks > 0 {
		do("45 ms", func(c *state) {
			c.budget.ticks--
			c.now += 130 * ms
			for _, n := range []string{"a", "b", "c"} {
				if !c.dead[n] {
					c.desks[n].Tick(c.now)
					c.drain(n)
				}
			}
		})
	}
	return out
}

// broken says what must never be.
func (s *state) broken() string {
	if len(s.effects) > 1 && !s.loose {
		return fmt.Sprintf("effects in racks %v", slices.Sorted(maps.Keys(s.effects)))
	}
	answers := map[string]bool{}
	for id, w := range s.waits {
		if strings.HasPrefix(w, fmt.Sprint(AnswerServed)) && !strings.Contains(id, " ") {
			answers[w] = true
		}
	}
	if len(answers) > 1 {
		return fmt.Sprintf("answers %v", answers)
	}
	return ""
}

// explore visits every state that can be reached, up to a number, and returns the first that must not be.
func explore(s *state, most int) (states int, broken string, whole bool) {
	seen := map[uint64]bool{s.hash(): true}
	todo := []*state{s}
	for len(todo) > 0 {
		x := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if b := x.broken(); b != "" {
			return len(seen), b + ": " + strings.Join(x.path, ", "), false
		}
		for _, y := range x.steps() {
			if h := y.hash(); !seen[h] {
				if len(seen) >= most {
					return len(seen), "", false
				}
				seen[h] = true
				todo = append(todo, y)
			}
		}
	}
	return len(seen), "", true
}

// Explored whole, with small numbers: three instances, a try at one and its client's retry at another, every order of messages with
// losses and repeats, crashes, false deaths, and time that passes until who waits goes without. Never are there effects in two racks where all that went
// out was covered, and never two answers. Planted breaks are found.
func TestExplored(t *testing.T) {
	most := 4000
	if os.Getenv("HITCHSPRING_EXPLORE") != "" { // the figures of docs/design/takeover.md: minutes
		most = 3000000
	}
	for _, b := range []budget{
		{crash: 1, retries: 1},
		{lost: 1, crash: 1, retries: 1, ticks: 1},
		{twice: 1, crash: 1, retries: 1},
		{deaths: 1, retries: 1, ticks: 1},
		{deaths: 2, retries: 1},
		{crash: 2, retries: 1},
	} {
		for _, accept := range []bool{false, true} {
			states, broken, whole := explore(beginAt("", b, accept), most)
			if broken != "" {
				t.Errorf("%+v, accepted first: %v: %s", b, accept, broken)
			}
			t.Logf("%+v, accepted first: %v: %d states, whole: %v", b, accept, states, whole)
			if states < 100 {
				t.Errorf("%+v: only %d states", b, states)
			}
		}
	}
	for plant, b := range map[string]budget{"does not wait": {retries: 1}, "goes elsewhere": {crash: 1, retries: 1}, "sends from nowhere": {crash: 1}, "takes unasked": {deaths: 3}} {
		broken := ""
		walks := 0
		for ; broken == "" && walks < 20000; walks++ {
			s := beginAt(plant, b, strings.Contains(plant, "nowhere") || strings.Contains(plant, "unasked"))
			if plant == "goes elsewhere" { // a first try that has failed, and a retry: the walks take it from there
				s.settle()
				s.desks["a"].Complete(s.now, 1, Answer{Kind: AnswerFailed})
				s.waits["a1 over"] = "yes"
				s.drain("a")
			}
			_, broken = walk(s, uint64(walks))
		}
		if broken == "" {
			t.Errorf("%q is not found in %d walks", plant, walks)
		}
		t.Logf("%q: %s after %d walks", plant, broken, walks)
	}
}

// settle delivers all that is on its way.
func (s *state) settle() {
	for len(s.net) > 0 {
		p := s.net[0]
		s.net = s.net[1:]
		s.desks[p.to].clock = func(string) time.Duration { return s.now }
		s.desks[p.to].Receive(s.now, p.from, 1, p.msg)
		s.drain(p.to)
	}
}

// walk takes one path by chance, as far as it goes.
func walk(s *state, seed uint64) (*state, string) {
	rng := rand.New(rand.NewPCG(seed, 9))
	for range 40 {
		if b := s.broken(); b != "" {
			return s, b + ": " + strings.Join(s.path, ", ")
		}
		next := s.steps()
		if len(next) == 0 {
			break
		}
		s = next[rng.IntN(len(next))]
	}
	return s, ""
}

// Longer paths than can be explored whole, by chance: everything at once.
func TestWalked(t *testing.T) {
	walks := uint64(400)
	if n, _ := strconv.ParseUint(os.Getenv("HITCHSPRING_EXPLORE"), 10, 64); n > 0 { // 20000 and more: the figures of docs/design/takeover.md
		walks = n
	}
	acted := map[string]int{}
	for seed := range walks {
		s, broken := walk(beginAt("", budget{lost: 1, twice: 1, crash: 1, deaths: 1, ticks: 2, retries: 1}, seed%2 == 0), seed)
		if broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
		for _, d := range s.desks {
			c := d.Counts()
			acted["covered"] += c.Covered
			acted["joined"] += c.Joined
			acted["bound"] += c.Bound
			acted["taken"] += c.TakenFrom
			acted["answered"] += c.Answered
			acted["uncovered"] += c.Uncovered + c.Partly
		}
	}
	for what, n := range acted {
		if n == 0 {
			t.Errorf("no walk came to %q", what)
		}
	}
	t.Log(acted)
}
