package backend

import (
	"os"
	"slices"
	"testing"
	"time"
)

// The exploration of the pool: two attempts to one backend, and everything that can end one of them, a connection
// or the backend, in every order. The pool is the real one; the connections' goroutines and the network are
// simulated.

const (
	maxSteps         = 8  // of one order
	maxTrialSteps    = 11 // the same with HITCHSPRING_TRIALS=1
	maxConnections   = 3  // that are begun in one order
	exploreTime      = 20 * time.Second
	trialExploreTime = 5 * time.Minute
	minSettled       = 2000 // states; with fewer the exploration doesn't cover what it should
)

// playSteps plays an order from the beginning; each entry is the index of a possible step.
func playSteps(mutation string, order []uint8) (*exploration, []step) {
	e := newExploration()
	e.mutation = mutation
	if mutation == trustedAndScarce || mutation == mutationTrustedEarly {
		e.pool.cfg.MaxConnections = 1
		e.pool.backends["s0"].duplicates.cleanReuses = cleanReusesToTrust
	}
	var played []step
	for _, i := range order {
		s := e.possibleSteps()[i]
		played = append(played, s)
		s.do()
		e.checkInvariants()
		if e.violation != "" {
			break
		}
	}
	return e, played
}

// explorationResult is what an exploration came to.
type explorationResult struct {
	states    int
	settled   int  // states whose end was checked
	deepest   int  // steps
	complete  bool // no order was left out for want of time
	violation string
	steps     []step // that lead to the violation
}

// explorer walks through orders of steps, each state once.
type explorer struct {
	explorationResult
	mutation string
	known    map[string]bool
}

// explore plays all orders of so many steps, the short ones first, until the first violation or until deadline.
func explore(mutation string, steps int, deadline time.Time) explorationResult {
	x := explorer{mutation: mutation, known: map[string]bool{}}
	level := [][]uint8{nil}
	for x.deepest = 0; len(level) > 0; x.deepest++ {
		var next [][]uint8
		for _, order := range level {
			if time.Now().After(deadline) {
				return x.explorationResult
			}
			longer := x.visit(order, x.deepest == steps)
			if x.violation != "" {
				return x.explorationResult
			}
			next = append(next, longer...)
		}
		level = next
	}
	x.complete = true
	return x.explorationResult
}

// visit plays one order and settles it. It returns the orders that are longer by a step, unless the order is one of the
// last or its state is known.
func (x *explorer) visit(order []uint8, last bool) (longer [][]uint8) {
	e, played := playSteps(x.mutation, order)
	x.steps = played
	if e.violation != "" {
		x.violation = e.violation
		return nil
	}
	state := e.fingerprint()
	if x.known[state] {
		return nil
	}
	x.known[state] = true
	x.states++
	possible := len(e.possibleSteps())
	e.settleAll()
	if e.violation != "" {
		x.violation = e.violation + ", once all is over"
		return nil
	}
	x.settled++
	if len(e.conns) > maxConnections || last {
		return nil
	}
	for i := range possible {
		longer = append(longer, append(slices.Clone(order), uint8(i)))
	}
	return longer
}

// Every order of what can happen to two attempts, their connections and their backend: each attempt ends once, with
// an outcome that is true; nothing is sent for one that has ended; and once all is settled no connection is
// counted, no attempt waits and no backend that has gone is remembered.
func TestPoolInEveryOrder(t *testing.T) {
	steps, within := maxSteps, exploreTime
	if os.Getenv("HITCHSPRING_TRIALS") != "" {
		steps, within = maxTrialSteps, trialExploreTime
	}
	found := explore("", steps, time.Now().Add(within))
	t.Logf("%d states, %d settled, %d steps deep, complete: %v (not more than %d steps and %d connections)",
		found.states, found.settled, found.deepest-1, found.complete, steps, maxConnections)
	if found.violation != "" {
		t.Fatalf("%s, after:\n%v", found.violation, found.steps)
	}
	if found.settled < minSettled {
		t.Errorf("%d states were settled, %d at least are wanted", found.settled, minSettled)
	}
	found = explore(trustedAndScarce, steps, time.Now().Add(within))
	if found.violation != "" {
		t.Fatalf("%s: %s, after:\n%v", trustedAndScarce, found.violation, found.steps)
	}
	t.Logf("%s: %d states, complete: %v", trustedAndScarce, found.states, found.complete)
	mutations := []string{
		mutationUnreportedWrite,
		mutationEndsTwice,
		mutationTrustedEarly,
		mutationOwnerNotAsked,
	}
	for _, mutation := range mutations {
		found := explore(mutation, steps, time.Now().Add(within))
		if found.violation == "" {
			t.Errorf("planted, and not found in %d states: %s", found.states, mutation)
		}
		t.Logf("planted: %s. Found after %d states: %s", mutation, found.states, found.violation)
	}
}
