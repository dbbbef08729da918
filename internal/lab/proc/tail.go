package proc

import (
	"strings"
	"sync"
)

// maxTailBytes is the maximum size of a tail.
const maxTailBytes = 4 << 10

// tail is an io.Writer that retains the last maxTailBytes written to it. It is safe for concurrent use.
type tail struct {
	mu   sync.Mutex // guards text
	text []byte
}

// Write implements io.Writer. It never fails.
func (t *tail) Write(data []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, data...)
	if excess := len(t.text) - maxTailBytes; excess > 0 {
		t.text = append(t.text[:0], t.text[excess:]...)
	}
	return len(data), nil
}

// lastLine returns the last line that was written, or "no output".
func (t *tail) lastLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := strings.TrimRight(string(t.text), "\n")
	if text == "" {
		return "no output"
	}
	return text[strings.LastIndexByte(text, '\n')+1:]
}
