package fault

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Script holds the active rules. It is safe for concurrent use.
type Script struct {
	mu    sync.Mutex // guards the fields below
	rng   *rand.Rand
	rules []*activeRule
}

// activeRule is a rule with its state.
type activeRule struct {
	Rule
	expiresAt time.Duration // expiry on the stand-in's clock; 0: never
	matched   int           // number of calls matched so far
	hits      int           // number of calls hit so far
}

// New returns an empty script. The seed determines which calls are hit by rules with a probability.
func New(seed uint64) *Script { return &Script{rng: rand.New(rand.NewPCG(seed, 1))} }

// Add activates a rule at time now on the stand-in's clock.
func (s *Script) Add(now time.Duration, r Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &activeRule{Rule: r}
	if r.ActiveFor > 0 {
		a.expiresAt = now + r.ActiveFor
	}
	s.rules = append(s.rules, a)
}

// Clear removes all rules.
func (s *Script) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = nil
}

// Next returns the first rule that hits a call, and the time left until the rule expires. hit is false if no rule hits
// the call.
func (s *Script) Next(now time.Duration, name, caller string) (r Rule, left time.Duration, hit bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = slices.DeleteFunc(s.rules, func(a *activeRule) bool { return a.expired(now) })
	for _, a := range s.rules {
		if !a.matches(name, caller) {
			continue
		}
		a.matched++
		if a.matched <= a.SkipFirst || a.Probability > 0 && s.rng.Float64() >= a.Probability {
			continue
		}
		a.hits++
		return a.Rule, max(0, a.expiresAt-now), true
	}
	return Rule{}, 0, false
}

// expired reports whether the rule has expired or has hit its maximum number of calls.
func (a *activeRule) expired(now time.Duration) bool {
	return a.expiresAt > 0 && now >= a.expiresAt || a.MaxHits > 0 && a.hits >= a.MaxHits
}

// matches reports whether the rule matches a call by name and caller.
func (a *activeRule) matches(name, caller string) bool {
	return (a.CallName == "" || strings.EqualFold(a.CallName, name)) && (a.Caller == "" || a.Caller == caller)
}
