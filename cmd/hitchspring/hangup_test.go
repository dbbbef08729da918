package main

import (
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/discovery"
)

// A real process that is told by SIGHUP, several times on end and by a bad file in between, to move discovery, while a backend drains and the
// clients go on: nothing new reaches that backend later than 2 s after the last SIGHUP, and no client is turned away.
func TestHangupsWhileABackendDrains(t *testing.T) {
	const (
		toldWithin = 2 * time.Second
		quietFor   = 500 * time.Millisecond
		every      = 5 * time.Millisecond // between two requests
	)
	var drains, stays sentLog
	entry := func(uid, addr, state string) discovery.Target {
		return discovery.Target{UID: uid, Endpoint: addr, Zone: "a", State: state}
	}
	first, second := drains.backend(t), stays.backend(t)
	before := discovery.List{Rev: 3, Complete: true, Targets: []discovery.Target{entry("s0", first, "SERVING"), entry("s1", second, "SERVING")}}
	after := discovery.List{Rev: 4, Complete: true, Targets: []discovery.Target{entry("s0", first, "DRAINING"), entry("s1", second, "SERVING")}}
	p := platform{discovery: registry(t, before, healthy), known: before, instances: 1, mode: "push", attempts: 3}
	i := newInstance(t, 0)
	i.configure(t, 0, p)
	if err := i.start(); err != nil {
		t.Fatal(err)
	}
	if err := i.awaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	var hangups atomic.Int64
	told := registry(t, after, func(http.ResponseWriter, *http.Request) bool {
		hangups.Add(1)
		return true
	})
	hangup := func(discovery string) {
		p.discovery = discovery
		i.configure(t, 0, p)
		i.cmd.Process.Signal(syscall.SIGHUP)
	}
	id := 1 << 20
	askFor := func(d time.Duration) {
		t.Helper()
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(every) {
			id++
			if answer, err := i.ask(id); err != nil || answer != "$5\r\n" {
				t.Fatalf("a client was answered %q, %v", answer, err)
			}
		}
	}
	askFor(quietFor)
	if last, _ := drains.latest(); last.IsZero() {
		t.Fatal("the backend that is to drain was not used")
	}
	for _, discovery := range []string{refusing(t), "nowhere", registry(t, before, silent), told} {
		hangup(discovery)
		askFor(20 * time.Millisecond)
	}
	moved := time.Now()
	askFor(toldWithin + quietFor)
	if hangups.Load() == 0 {
		t.Error("the last address was never asked")
	}
	last, _ := drains.latest()
	t.Logf("the last command came %v after the last SIGHUP", last.Sub(moved).Round(time.Millisecond))
	if late := last.Sub(moved); late > toldWithin {
		t.Errorf("a command came %v after the last SIGHUP, want %v at the most", late, toldWithin)
	}
}
