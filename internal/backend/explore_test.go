package backend

import (
	"os"
	"slices"
	"testing"
	"time"
)

// This file explores the pool exhaustively: two attempts to one backend, and every order of the events that can end an
// attempt, a connection or the backend. The pool is real; the connections' goroutines and the network are simulated.

const (
	maxSteps         = 8  // in one order
	maxTrialSteps    = 11 // maxSteps with HITCHSPRING_TRIALS=1
	maxConnections   = 3  // dialed in one order
	exploreTime      = 20 * time.Second
	trialExploreTime = 5 * time.Minute
	minSettled       = 2000 // states; fewer show that the exploration has lost coverage
)

// playSteps runs an order of steps from the initial state; each entry is an index into possibleSteps.
func playSteps(mutation string, order []uint8) (*exploration, []step) {
	e := newExploration()
	e.mutation = mutation
	if mutation == singleConnection || mutation == mutationReusedEarly {
		e.pool.cfg.MaxConnections = 1
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

// explorationResult is the result of an exploration.
type explorationResult struct {
	states    int
	settled   int  // states that were settled and checked
	deepest   int  // steps
	complete  bool // every order was run before the deadline
	violation string
	steps     []step // that lead to the violation
}

// explorer runs orders of steps breadth-first, and continues from each state once.
type explorer struct {
	explorationResult
	mutation string
	known    map[string]bool
}

// explore runs all orders of up to so many steps, the short ones first, until the first violation or the deadline.
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

// visit runs one order and settles it. It returns the orders that continue it by one step, or none if last is set or
// the state was visited before.
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
		x.violation = e.violation + ", after all was settled"
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

// In every order of events at two attempts, their connections and their backend, each attempt ends once, with a correct
// outcome, and no command is sent for an ended attempt. Once all is settled, the pool counts no connection, no attempt
// waits, and no removed backend is left.
func TestPoolInEveryOrder(t *testing.T) {
	steps, within := maxSteps, exploreTime
	if os.Getenv("HITCHSPRING_TRIALS") != "" {
		steps, within = maxTrialSteps, trialExploreTime
	}
	found := explore("", steps, time.Now().Add(within))
	t.Logf("%d states, %d settled, %d steps deep, complete: %v (at most %d steps and %d connections)",
		found.states, found.settled, found.deepest-1, found.complete, steps, maxConnections)
	if found.violation != "" {
		t.Fatalf("%s, after:\n%v", found.violation, found.steps)
	}
	if found.settled < minSettled {
		t.Errorf("%d states were settled, want at least %d", found.settled, minSettled)
	}
	found = explore(singleConnection, steps, time.Now().Add(within))
	if found.violation != "" {
		t.Fatalf("%s: %s, after:\n%v", singleConnection, found.violation, found.steps)
	}
	t.Logf("%s: %d states, complete: %v", singleConnection, found.states, found.complete)
	mutations := []string{
		mutationUnreportedWrite,
		mutationEndsTwice,
		mutationReusedEarly,
		mutationWantedNotChecked,
	}
	for _, mutation := range mutations {
		found := explore(mutation, steps, time.Now().Add(within))
		if found.violation == "" {
			t.Errorf("planted defect not found in %d states: %s", found.states, mutation)
		}
		t.Logf("planted defect: %s. Found after %d states: %s", mutation, found.states, found.violation)
	}
}
