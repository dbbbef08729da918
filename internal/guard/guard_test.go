package guard

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// All violations are counted, and the first ones of each invariant are logged under the same name as in metrics.
func TestMonitor(t *testing.T) {
	var text bytes.Buffer
	m := NewMonitor(slog.New(slog.NewTextHandler(&text, nil)))
	for range maxLogged + 5 {
		m.Violated(RetryOfNonIdempotent, "request", "00ff")
	}
	m.Violated(None)
	if got := m.Count(RetryOfNonIdempotent); got != maxLogged+5 {
		t.Errorf("got count %d, want %d", got, maxLogged+5)
	}
	const message = `msg="invariant violated" invariant=repeat_of_unsafe request=00ff`
	if got := strings.Count(text.String(), message); got != maxLogged {
		t.Errorf("got %d log lines of the violation, want %d:\n%s", got, maxLogged, &text)
	}
	if got := strings.Count(text.String(), "\n"); got != maxLogged {
		t.Errorf("got %d log lines, want %d:\n%s", got, maxLogged, &text)
	}
	if got := len(Invariants()); got != int(invariantCount)-1 {
		t.Errorf("got %d invariants, want %d", got, int(invariantCount)-1)
	}
}

func TestNilMonitor(t *testing.T) {
	var m *Monitor
	m.Violated(UnansweredAtExit)
	if got := m.Count(UnansweredAtExit); got != 0 {
		t.Errorf("got count %d of a nil monitor, want 0", got)
	}
}
