package cputime

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a client that waits for seconds behind others which come again on ever new connections: a single turn
// that lasted long, since the process was busy, put it behind all accounts that had used nothing yet.
func TestKeptAccountIsNotStarvedByNewOnes(t *testing.T) {
	for _, newcomers := range []int{6, 300} {
		for _, turn := range []time.Duration{20 * time.Microsecond, 200 * time.Microsecond, quantum} {
			synctest.Test(t, func(t *testing.T) { testNewcomers(t, newcomers, turn) })
		}
	}
}

func testNewcomers(t *testing.T, newcomers int, turn time.Duration) {
	const period = 10 * time.Second
	s := NewScheduler(1)
	var users sync.WaitGroup
	for range newcomers {
		users.Go(func() {
			for began := time.Now(); time.Since(began) < period; {
				use(s, turn, 0, turn) // one turn on a new account
			}
		})
	}
	kept := s.NewAccount()
	longestWait := time.Duration(0)
	for began := time.Now(); time.Since(began) < period-time.Second; {
		asked := time.Now()
		kept.Begin()
		longestWait = max(longestWait, time.Since(asked))
		time.Sleep(maxTurnCost)
		kept.End()
		time.Sleep(70 * time.Millisecond)
	}
	users.Wait()
	// Each newcomer may go ahead for maxDelayRounds rounds, and once more; timers add a tenth.
	round := max(time.Duration(float64(newcomers)*s.spread*float64(turn)), time.Duration(newcomers)*time.Millisecond)
	if limit := time.Duration(1.1*(maxDelayRounds+1)*float64(round)) + maxDebt; longestWait > limit {
		t.Errorf("beside %d new accounts with turns of %v: waited %v, want %v at most",
			newcomers, turn, longestWait, limit)
	}
}
