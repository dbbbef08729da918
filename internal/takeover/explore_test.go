package takeover

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// exploreVariable makes the explorations longer: they visit maxDeepStates
// states, and as many random walks as it says.
const exploreVariable = "HITCHSPRING_EXPLORE"

const (
	maxStates         = 4000
	maxDeepStates     = 3000000
	minStates         = 100
	maxWalksForDefect = 20000
	defaultWalks      = 400
	stepsPerWalk      = 40
)

// exploration is what a search through the states has found.
type exploration struct {
	states    int
	violation string // the first, with the path to it; empty: there is none
	complete  bool   // all states that can be reached were visited
}

// explore visits every state that can be reached, up to a number.
func explore(start *modelState, limit int) exploration {
	seen := map[uint64]bool{start.hash(): true}
	stack := []*modelState{start}
	for len(stack) > 0 {
		state := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if violation := state.violation(); violation != "" {
			return exploration{states: len(seen), violation: violation + ": " + strings.Join(state.path, ", ")}
		}
		for _, next := range state.successors() {
			hash := next.hash()
			if seen[hash] {
				continue
			}
			if len(seen) >= limit {
				return exploration{states: len(seen)}
			}
			seen[hash] = true
			stack = append(stack, next)
		}
	}
	return exploration{states: len(seen), complete: true}
}

// randomWalk takes one random path, as far as it goes, and returns its end and
// the first violation.
func randomWalk(state *modelState, seed uint64) (*modelState, string) {
	rng := rand.New(rand.NewPCG(seed, 9))
	for range stepsPerWalk {
		if violation := state.violation(); violation != "" {
			return state, violation + ": " + strings.Join(state.path, ", ")
		}
		next := state.successors()
		if len(next) == 0 {
			break
		}
		state = next[rng.IntN(len(next))]
	}
	return state, ""
}

// Three instances, an attempt at one and its client's retry at another, with
// every order of messages, losses, repetitions, crashes, false departures, and
// time that passes until who waits goes on without consent: attempts have
// effects in two racks only if one was sent uncovered, and there are never two
// answers.
func TestExploreStates(t *testing.T) {
	limit := maxStates
	if os.Getenv(exploreVariable) != "" { // the figures of docs/design/takeover.md; takes minutes
		limit = maxDeepStates
	}
	for _, faults := range []faultBudget{
		{crashes: 1, retries: 1},
		{lost: 1, crashes: 1, retries: 1, ticks: 1},
		{duplicated: 1, crashes: 1, retries: 1},
		{falseDeaths: 1, retries: 1, ticks: 1},
		{falseDeaths: 2, retries: 1},
		{crashes: 2, retries: 1},
	} {
		for _, acceptFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%+v, accepted first %v", faults, acceptFirst), func(t *testing.T) {
				found := explore(newModel(defectNone, faults, acceptFirst), limit)
				if found.violation != "" {
					t.Error(found.violation)
				}
				t.Logf("%d states, complete %v", found.states, found.complete)
				if found.states < minStates {
					t.Errorf("got %d states, want %d at least", found.states, minStates)
				}
			})
		}
	}
}

// Planted defects are found.
func TestExploreFindsDefects(t *testing.T) {
	tests := []struct {
		planted     defect
		faults      faultBudget
		acceptFirst bool
		prepare     func(s *modelState)
	}{
		{planted: defectSendsUnasked, faults: faultBudget{retries: 1}},
		{
			planted: defectAdoptsElsewhere,
			faults:  faultBudget{crashes: 1, retries: 1},
			prepare: func(s *modelState) { // the walks begin with a first attempt that has failed
				s.deliverAll()
				s.coordinators["a"].Complete(s.now, firstAttempt, Answer{Kind: AnswerFailed})
				s.outcomes[attemptID("a", firstAttempt)+endedSuffix] = endedMark
				s.performActions("a")
			},
		},
		{planted: defectSendsFromNone, faults: faultBudget{crashes: 1}, acceptFirst: true},
		{planted: defectTakesOverUnasked, faults: faultBudget{falseDeaths: 3}, acceptFirst: true},
	}
	for _, test := range tests {
		t.Run(string(test.planted), func(t *testing.T) {
			for seed := range uint64(maxWalksForDefect) {
				s := newModel(test.planted, test.faults, test.acceptFirst)
				if test.prepare != nil {
					test.prepare(s)
				}
				if _, violation := randomWalk(s, seed); violation != "" {
					t.Logf("%s after %d walks", violation, seed+1)
					return
				}
			}
			t.Errorf("not found in %d walks", maxWalksForDefect)
		})
	}
}

// Longer paths than can be explored completely, at random, with all faults.
func TestRandomWalks(t *testing.T) {
	walks := uint64(defaultWalks)
	if n, _ := strconv.ParseUint(os.Getenv(exploreVariable), 10, 64); n > 0 { // 20000 for docs/design/takeover.md
		walks = n
	}
	faults := faultBudget{lost: 1, duplicated: 1, crashes: 1, falseDeaths: 1, ticks: 2, retries: 1}
	total := map[string]int{}
	for seed := range walks {
		end, violation := randomWalk(newModel(defectNone, faults, seed%2 == 0), seed)
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		for _, c := range end.coordinators {
			counts := c.Counts()
			total["covered"] += counts.Covered
			total["joined"] += counts.Joined
			total["bound"] += counts.Adopted
			total["taken"] += counts.TookOver
			total["answered"] += counts.Answered
			total["uncovered"] += counts.Uncovered + counts.PartlyCovered
		}
	}
	for what, n := range total {
		if n == 0 {
			t.Errorf("no walk came to %q", what)
		}
	}
	t.Log(total)
}
