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

// Repeated rejections of accounts for lack of capacity are logged once at first, and then once per fullLogInterval.
func TestFullAccountsAreLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	cfg := testConfig(endpointsAt())
	cfg.Settings.Instances = 3
	c := newTestCore(t, cfg, slog.New(slog.NewTextHandler(&out, nil)))
	c.now = time.Hour
	c.escrow = newEscrowState(cfg, c.now)
	var needs []escrow.Need
	for i := range escrow.MaxAccounts + 1 {
		needs = append(needs, escrow.Need{Key: fmt.Sprintf("channel-%03d", i), Spread: 2, WantedShare: 0.1})
	}
	countLines := func() int { return strings.Count(out.String(), "no capacity for further escrow accounts") }
	for range 100 {
		c.escrow.allocator.Tick(c.now, needs, nil)
		c.logAccountsFull()
		c.now += escrowTickInterval
	}
	if n := countLines(); n != 1 {
		t.Fatalf("got %d lines, want one:\n%s", n, &out)
	}
	c.now += fullLogInterval
	c.escrow.allocator.Tick(c.now, needs, nil)
	c.logAccountsFull()
	if n := countLines(); n != 2 || !strings.Contains(out.String(), "rejected=100 max_accounts=256") {
		t.Fatalf("got %d lines, want two, the last with rejected=100 max_accounts=256:\n%s", n, &out)
	}
}
