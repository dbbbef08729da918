package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

func book() *Registry {
	return New(Config{Timeout: 2 * s, StartWithin: s / 2, Retention: 3 * s, MaxRequests: 4})
}

func open(t *testing.T, b *Registry, id string, giveUp time.Duration) *Request {
	t.Helper()
	r, err := b.Open(id, 1, giveUp)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// One attempt through all of its ends.
func TestEnds(t *testing.T) {
	for name, c := range map[string]struct {
		report Outcome
		want   State
	}{"served": {OutcomeServed, Served}, "unsent": {OutcomeUnsent, Unsent}, "turned away": {OutcomeRejected, Open}, "failed": {OutcomeFailed, Open}, "silent": {0, Expired}} {
		b := book()
		r := open(t, b, "a", 5*s)
		l := b.Grant(s, r, "x", "n1", "h:1", 0, 5*s, 0)
		if l == nil || l.StartBy != s+s/2 || l.ExpiresAt != 3*s || r.State != Granted || b.Outstanding() != 1 {
			t.Fatalf("%s: %+v", name, l)
		}
		if c.report == 0 {
			if out := b.Expire(3 * s); len(out) != 1 || out[0] != r {
				t.Fatal(out)
			}
		} else if _, _, first, err := b.Report(2*s, "x", c.report); !first || err != nil {
			t.Fatal(name, first, err)
		}
		if r.State != c.want || b.Outstanding() != 0 {
			t.Errorf("%s: %v, want %v; %d out", name, r.State, c.want, b.Outstanding())
		}
	}
}

// A report is idempotent; another one, a late one and one of nothing are told apart.
func TestReports(t *testing.T) {
	b := book()
	r := open(t, b, "a", 5*s)
	b.Grant(0, r, "x", "n1", "h:1", 0, 5*s, 0)
	for i, c := range []struct {
		name  string
		o     Outcome
		first bool
		err   error
	}{{"x", OutcomeFailed, true, nil}, {"x", OutcomeFailed, false, nil}, {"x", OutcomeServed, false, ErrConflict}, {"y", OutcomeServed, false, ErrUnknown}} {
		if _, _, first, err := b.Report(s, c.name, c.o); first != c.first || !errors.Is(err, c.err) {
			t.Errorf("%d: %v, %v", i, first, err)
		}
	}
	b.Grant(s, r, "z", "n2", "h:2", 1, 5*s, 0) // another attempt of the same request
	if out := b.Expire(4 * s); len(out) != 1 {
		t.Fatal(out)
	}
	if _, _, first, err := b.Report(4*s, "z", OutcomeServed); first || !errors.Is(err, ErrLate) {
		t.Fatal(first, err)
	}
	if _, l, first, err := b.Report(4*s, "x", OutcomeFailed); first || err != nil || l.Node != "n1" {
		t.Fatal("the first attempt's report is forgotten", err)
	}
	if b.Expire(8 * s); b.Len() != 0 {
		t.Fatal("kept for good")
	}
}

// What was never sent is harmless to try again only where nothing else of its request may have run.
func TestUnsentAfterFailed(t *testing.T) {
	for o, want := range map[Outcome]State{OutcomeFailed: Failed, OutcomeRejected: Unsent} {
		b := book()
		r := open(t, b, "a", 5*s)
		b.Grant(0, r, "x", "n1", "h:1", 0, 5*s, 0)
		b.Report(0, "x", o)
		b.Grant(0, r, "y", "n2", "h:2", 1, 5*s, 0)
		if b.Report(0, "y", OutcomeUnsent); r.State != want {
			t.Errorf("%v, want %v", r.State, want)
		}
	}
}

// A repeat must be sent while its rack remembers the first: the grant says until when, and is none where that is over.
func TestRepeatIsSentInTime(t *testing.T) {
	b := book()
	r := open(t, b, "a", 5*s)
	if l := b.Grant(2*s, r, "x", "n1", "h:1", 1, 5*s, 2*s); l != nil {
		t.Fatalf("%+v", l)
	}
	if l := b.Grant(2*s, r, "x", "n1", "h:1", 1, 5*s, 2*s+s/4); l == nil || l.StartBy != 2*s+s/4 {
		t.Fatalf("%+v", l)
	}
}

// The same id within its time is the same request; with other particulars it is an error; another case is another id.
func TestFind(t *testing.T) {
	b := book()
	r := open(t, b, "Abc", 5*s)
	if got, err := b.Find("Abc", 1); got != r || err != nil {
		t.Fatal(got, err)
	}
	if _, err := b.Find("Abc", 2); !errors.Is(err, ErrMismatch) {
		t.Fatal(err)
	}
	if got, err := b.Find("abc", 1); got != nil || err != nil {
		t.Fatal(got, err)
	}
	b.Forget(r)
	if got, _ := b.Find("Abc", 1); got != nil || b.Len() != 0 {
		t.Fatal("not forgotten")
	}
	for i := range 4 {
		open(t, b, fmt.Sprint(i), s)
	}
	if _, err := b.Open("5", 1, s); !errors.Is(err, ErrFull) {
		t.Fatal(err)
	}
}

// machine plays the book against a plain list.
type machine struct {
	b     *Registry
	now   time.Duration
	reqs  map[string]*Request
	plain map[string]*plainLease
	names int
}

type plainLease struct {
	id   string
	ends time.Duration
	out  Outcome
	gone bool
}

func (m *machine) Check(t *rapid.T) {
	out := 0
	for _, l := range m.plain {
		if l.out == 0 && !l.gone {
			out++
		}
	}
	if m.b.Outstanding() != out {
		t.Fatalf("%d leases out, want %d", m.b.Outstanding(), out)
	}
	for id, r := range m.reqs {
		live := 0
		for _, l := range m.plain {
			if l.id == id && l.out == 0 && !l.gone {
				live++
			}
		}
		if live > 1 || (r.State == Granted) != (live == 1) {
			t.Fatalf("%s is %v with %d leases out", id, r.State, live)
		}
	}
}

// However asks, grants, reports and time come, a request has one lease out at the most, each lease ends once, and what has
// ended stays so.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{b: New(Config{Timeout: 2 * s, StartWithin: s / 2, Retention: 3 * s, MaxRequests: 8}), reqs: map[string]*Request{}, plain: map[string]*plainLease{}}
		id := rapid.SampledFrom([]string{"a", "A", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"": m.Check,
			"ask": func(t *rapid.T) {
				k := id.Draw(t, "id")
				if r, err := m.b.Find(k, 1); r == nil && err == nil {
					r, err := m.b.Open(k, 1, m.now+5*s)
					if err != nil {
						t.Fatal(err)
					}
					m.reqs[k] = r
				} else if r != m.reqs[k] {
					t.Fatal("another request under the same id")
				}
			},
			"grant": func(t *rapid.T) {
				r := m.reqs[id.Draw(t, "id")]
				if r == nil {
					return
				}
				m.names++
				name := fmt.Sprint("l", m.names)
				kept, _ := m.b.Find(r.ID, 1)
				was := r.State
				l := m.b.Grant(m.now, r, name, "n", "h:1", 0, m.now+s, 0)
				if (l != nil) != (was == Open && kept == r) {
					t.Fatalf("granted %v from %v", l != nil, was)
				}
				if l != nil {
					m.plain[name] = &plainLease{id: r.ID, ends: l.ExpiresAt}
				}
			},
			"report": func(t *rapid.T) {
				if m.names == 0 {
					return
				}
				name := fmt.Sprint("l", rapid.IntRange(1, m.names).Draw(t, "lease"))
				o := Outcome(rapid.IntRange(1, 4).Draw(t, "outcome"))
				_, _, first, err := m.b.Report(m.now, name, o)
				p := m.plain[name]
				want := p != nil && p.out == 0 && !p.gone && m.now <= p.ends
				if first != want || first && err != nil {
					t.Fatalf("first %v, want %v, %v", first, want, err)
				}
				if first {
					p.out = o
				} else if p != nil && p.out == o && err != nil && !errors.Is(err, ErrUnknown) {
					t.Fatal("a report again is an error:", err)
				}
			},
			"decide": func(t *rapid.T) {
				if r := m.reqs[id.Draw(t, "id")]; r != nil {
					was := r.State
					m.b.Decide(r, Rejected, s)
					if was != Open && r.State != was {
						t.Fatalf("%v became %v", was, r.State)
					}
				}
			},
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				for _, r := range m.b.Expire(m.now) {
					if r.State != Expired {
						t.Fatal(r.State)
					}
				}
				for _, l := range m.plain {
					l.gone = l.gone || l.out == 0 && l.ends <= m.now
				}
				for k, r := range m.reqs {
					if got, _ := m.b.Find(k, 1); got != r {
						delete(m.reqs, k)
					}
				}
			},
		})
	})
}
