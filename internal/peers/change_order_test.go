package peers

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"

	"hitchspring/internal/swim"
)

// Guards against a refutation that is passed on before the death that it
// refutes: while one change is being passed on, a later one that another
// goroutine finds waits, and that goroutine doesn't.
func TestChangesArePassedOnOneAtATime(t *testing.T) {
	key := keyFile(t, "the key that all of them have")
	addrs := freeAddrs(t, 2)
	held := make(chan struct{})
	release := sync.OnceFunc(func() { close(held) })
	defer release()
	var calls, atOnce, most atomic.Int32
	cfg := testConfig("a", addrs[0], key, addrs[1])
	cfg.OnChange = func([]swim.Change) {
		most.Store(max(most.Load(), atOnce.Add(1)))
		if calls.Add(1) == 1 {
			<-held
		}
		atOnce.Add(-1)
	}
	a := startPeers(t, cfg, slog.New(slog.DiscardHandler))
	startPeers(t, testConfig("b", addrs[1], key, addrs[0]), slog.New(slog.DiscardHandler))
	eventually(t, "a passes on that b has joined", func() bool { return calls.Load() > 0 })
	eventually(t, "a declares b dead, whose answers it does not read meanwhile", func() bool {
		return memberState(a, "b") == "dead"
	})
	release()
	eventually(t, "a passes on what has changed meanwhile", func() bool { return calls.Load() > 1 })
	if got := most.Load(); got != 1 {
		t.Errorf("got %d calls of OnChange at once, want one after another", got)
	}
}
