package fault

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Script holds the rules in force. It is safe for concurrent use.
type Script struct {
	mu    sync.Mutex // guards all below
	rng   *rand.Rand
	rules []*activeRule
}

// activeRule is a rule in force.
type activeRule struct {
	Rule
	until   time.Duration // on the stand-in's clock; 0: for good
	matched int           // calls that matched so far
	hits    int           // calls that were hit so far
}

// New returns an empty script whose random draws come from the seed.
func New(seed uint64) *Script { return &Script{rng: rand.New(rand.NewPCG(seed, 1))} }

// Add puts a rule in force from now on, a time on the stand-in's clock.
func (s *Script) Add(now time.Duration, r Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &activeRule{Rule: r}
	if r.For > 0 {
		a.until = now + r.For
	}
	s.rules = append(s.rules, a)
}

// Clear ends all rules.
func (s *Script) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = nil
}

// Next returns the first rule that hits a call, and how much of its window is left.
func (s *Script) Next(now time.Duration, name, caller string) (r Rule, left time.Duration, hit bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = slices.DeleteFunc(s.rules, func(a *activeRule) bool { return a.ended(now) })
	for _, a := range s.rules {
		if !a.matches(name, caller) {
			continue
		}
		a.matched++
		if a.matched <= a.After || a.Share > 0 && s.rng.Float64() >= a.Share {
			continue
		}
		a.hits++
		return a.Rule, max(0, a.until-now), true
	}
	return Rule{}, 0, false
}

// ended reports whether the rule's window has passed or it has hit as many calls as it may.
func (a *activeRule) ended(now time.Duration) bool {
	return a.until > 0 && now >= a.until || a.Times > 0 && a.hits >= a.Times
}

// matches reports whether the rule concerns a call.
func (a *activeRule) matches(name, caller string) bool {
	return (a.On == "" || strings.EqualFold(a.On, name)) && (a.Caller == "" || a.Caller == caller)
}
