package escrow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Budgets beyond the bound are counted and stay even, those within it are held on, and one that is asked for later is taken when others
// have ended.
func TestMaxBudgets(t *testing.T) {
	now := time.Hour
	b := New(0, instances, now, rand.New(rand.NewPCG(1, 2)))
	need := func(i int) Need { return Need{Key: fmt.Sprintf("channel-%03d", i), Spread: 2, WantedShare: 0.1} }
	var needs []Need
	for i := range MaxBudgets + 44 {
		needs = append(needs, need(i))
	}
	b.Tick(now, needs[:MaxBudgets], nil)
	if b.Counts().Full != 0 {
		t.Fatal(b.Counts())
	}
	b.Tick(now, needs, nil)
	if parts := b.Allocations(now); b.Counts().Full != 44 || len(parts) != MaxBudgets {
		t.Fatal(b.Counts(), len(parts))
	}
	now += retention + time.Second
	b.Tick(now, nil, nil)
	b.Tick(now, needs[MaxBudgets:], nil)
	if parts := b.Allocations(now); b.Counts().Full != 44 || len(parts) != 44 {
		t.Fatal(b.Counts(), len(parts))
	}
}
