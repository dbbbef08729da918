package core

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/escrow"
)

// Budgets that find no room again and again are one line at once, and one in ten seconds after that.
func TestFullBookIsOneLine(t *testing.T) {
	var out bytes.Buffer
	cfg := testConfig("", fleetOf())
	cfg.Settings.Instances = 3
	g, err := New(cfg, slog.New(slog.NewTextHandler(&out, nil)))
	if err != nil {
		t.Fatal(err)
	}
	g.now = time.Hour
	g.escrow = newEscrowState(cfg, g.now)
	var needs []escrow.Need
	for i := range escrow.MaxBudgets + 1 {
		needs = append(needs, escrow.Need{Key: fmt.Sprintf("channel-%03d", i), Spread: 2, WantedShare: 0.1})
	}
	count := func() int { return strings.Count(out.String(), "no room for further budgets") }
	for range 100 {
		g.escrow.allocator.Tick(g.now, needs, nil)
		g.logAccountsFull()
		g.now += escrowTickInterval
	}
	if count() != 1 {
		t.Fatal(out.String())
	}
	g.now += fullLogInterval
	g.escrow.allocator.Tick(g.now, needs, nil)
	g.logAccountsFull()
	if count() != 2 || !strings.Contains(out.String(), "refused=100 max_budgets=256") {
		t.Fatal(out.String())
	}
}
