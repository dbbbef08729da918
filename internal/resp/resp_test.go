package resp

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
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

// Any cutting of what comes gives the same frames as none, whatever their sizes.
func TestCuttingChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []string
		for range rapid.IntRange(1, 4).Draw(t, "frames") {
			n := rapid.IntRange(1, 5).Draw(t, "elements")
			f := fmt.Sprintf("*%d\r\n", n)
			for range n {
				size := rapid.SampledFrom([]int{0, 1, 3, 100, 3000, 70000}).Draw(t, "size")
				f += fmt.Sprintf("$%d\r\n%s\r\n", size, strings.Repeat("\r\n$", size)[:size])
			}
			want = append(want, f)
		}
		in, all := Inbox{Max: 1 << 20}, strings.Join(want, "")
		var got []string
		for {
			f, err := in.Next()
			if err != nil {
				t.Fatal(err)
			}
			if f != nil {
				got = append(got, string(f))
				continue
			}
			if all == "" {
				break
			}
			err = in.Fill(func(p []byte) (int, error) {
				n := min(len(p), len(all), rapid.SampledFrom([]int{1, 2, 7, 1000, 50000, 1 << 20}).Draw(t, "cut"))
				copy(p, all[:n])
				all = all[n:]
				return n, nil
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		if !slices.Equal(got, want) || in.Partial() {
			t.Fatalf("%d frames came out, %d went in; some are not the same", len(got), len(want))
		}
	})
}

// A frame for which there is no memory can be read past exactly where its end is known.
func TestSkip(t *testing.T) {
	in := Inbox{Max: 1 << 20, Budget: NewBudget(100)}
	all := "*2\r\n$1\r\nx\r\n$50000\r\n" + strings.Repeat("y", 50000) + "\r\n" + "+OK\r\n"
	read := func(p []byte) (int, error) {
		if all == "" {
			return 0, io.EOF
		}
		n := copy(p, all)
		all = all[n:]
		return n, nil
	}
	var err error
	for err == nil {
		if _, err = in.Next(); err == nil {
			err = in.Fill(read)
		}
	}
	if err != ErrMemory {
		t.Fatal(err)
	}
	if skipped, err := in.Skip(read); !skipped || err != nil {
		t.Fatal(skipped, err)
	}
	if err := in.Fill(read); err != nil {
		t.Fatal(err)
	}
	if f, err := in.Next(); string(f) != "+OK\r\n" || err != nil {
		t.Fatalf("behind it: %q, %v", f, err)
	}
}
