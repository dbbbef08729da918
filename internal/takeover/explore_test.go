package takeover

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// exploreEnv is an environment variable that makes the explorations longer: if it
// is set, they visit up to maxDeepStates states. Its value is the number of random
// walks.
const exploreEnv = "HITCHSPRING_EXPLORE"

const (
	maxStates         = 4000
	maxDeepStates     = 3000000
	minStates         = 100
	maxWalksForDefect = 20000
	defaultWalks      = 400
	stepsPerWalk      = 40
)

// exploration is the result of a search through the states.
type exploration struct {
	states    int
	violation string // the first violation with the path to it, or empty
	complete  bool   // all reachable states were visited
}

// explore visits the states reachable from start, up to limit.
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

// randomWalk takes up to stepsPerWalk random steps and returns the last state and
// the first violation, if any.
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

// Explores three instances with an attempt at one and its client's retry at
// another, in every order of messages, losses, duplicates, crashes, false
// departures and timeouts. Attempts may have effects in two racks only if one was
// sent uncovered, and there must never be two different answers.
func TestExploreStates(t *testing.T) {
	limit := maxStates
	if os.Getenv(exploreEnv) != "" { // for the figures in docs/design/takeover.md; takes minutes
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

// Random walks must find each planted defect.
func TestExploreFindsDefects(t *testing.T) {
	tests := []struct {
		planted     defect
		faults      faultBudget
		acceptFirst bool
		prepare     func(s *modelState)
	}{
		{planted: defectSendsWithoutConsent, faults: faultBudget{retries: 1}},
		{
			planted: defectAdoptsInOtherScope,
			faults:  faultBudget{crashes: 1, retries: 1},
			prepare: func(s *modelState) { // each walk starts after the failure of the first attempt
				s.deliverAll()
				s.coordinators["a"].Complete(s.now, firstAttempt, Answer{Kind: AnswerFailed})
				s.outcomes[attemptID("a", firstAttempt)+endedSuffix] = endedMark
				s.performActions("a")
			},
		},
		{planted: defectSendsFromScopeNone, faults: faultBudget{crashes: 1}, acceptFirst: true},
		{planted: defectTakesOverWithoutConsent, faults: faultBudget{falseDeaths: 3}, acceptFirst: true},
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

// Random walks with all faults check paths that are too long for a complete
// exploration.
func TestRandomWalks(t *testing.T) {
	walks := uint64(defaultWalks)
	if n, _ := strconv.ParseUint(os.Getenv(exploreEnv), 10, 64); n > 0 { // 20000 for docs/design/takeover.md
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
			t.Errorf("no random walk counted %q", what)
		}
	}
	t.Log(total)
}
