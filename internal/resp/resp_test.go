package resp

import (
	"testing"
)

// The memory of commands that are coming in is bounded over all connections.
func TestBudget(t *testing.T) {
	b := NewBudget(SmallBuffer + 10)
	fill := func(in *Inbox) error {
		return in.Fill(func(p []byte) (int, error) { return len(p), nil })
	}
	one, two := Inbox{Budget: b}, Inbox{Budget: b}
	for _, step := range []struct {
		in   *Inbox
		want error
	}{{&one, nil}, {&two, nil}, {&one, nil}, {&two, ErrMemory}} {
		if err := fill(step.in); err != step.want {
			t.Fatalf("%v, want %v", err, step.want)
		}
	}
	one.Close()
	if err := fill(&two); err != nil {
		t.Fatal(err)
	}
}

// Whatever comes, Frame neither panics nor promises more than it was given, and what it finds whole stays whole with
// more behind it.
func FuzzFrame(f *testing.F) {
	for _, s := range []string{"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n", "$-1\r\n", "*-1\r\n", "$99999999999\r\n", ":1\r\n", "+OK\r\n", "*1\r\n*1\r\n*1\r\n*1\r\n", "\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := Frame(b, 0)
		if n < 0 || n > len(b) || n > MaxFrame+MaxValue || err != nil && n != 0 {
			t.Fatalf("%d of %d bytes, %v", n, len(b), err)
		}
		if n > 0 {
			if m, err := Frame(append(b[:n:n], "+OK\r\n"...), 0); m != n || err != nil {
				t.Fatalf("%d bytes alone, %d with more behind, %v", n, m, err)
			}
		}
	})
}
