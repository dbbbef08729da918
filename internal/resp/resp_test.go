package resp

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The total memory for incomplete frames of all connections is bounded.
func TestBudget(t *testing.T) {
	budget := NewBudget(SmallBufferBytes + 10)
	fill := func(in *Inbox) error {
		return in.Fill(func(p []byte) (int, error) { return len(p), nil })
	}
	one, two := Inbox{Budget: budget}, Inbox{Budget: budget}
	for i, step := range []struct {
		inbox *Inbox
		want  error
	}{{&one, nil}, {&two, nil}, {&one, nil}, {&two, ErrMemory}} {
		if err := fill(step.inbox); !errors.Is(err, step.want) {
			t.Fatalf("step %d: got %v, want %v", i, err, step.want)
		}
	}
	one.Close()
	if err := fill(&two); err != nil {
		t.Fatalf("got %v after memory was released, want none", err)
	}
}

// For any input, FrameLength neither panics nor returns more than the length of the
// input, and the length of a complete frame does not depend on the bytes after it.
func FuzzFrame(f *testing.F) {
	for _, seed := range []string{
		"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n",
		"$-1\r\n",
		"*-1\r\n",
		"$99999999999\r\n",
		":1\r\n",
		"+OK\r\n",
		"*1\r\n*1\r\n*1\r\n*1\r\n",
		"\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := FrameLength(b, 0)
		if n < 0 || n > len(b) || n > MaxFrameBytes+MaxValue || err != nil && n != 0 {
			t.Fatalf("got %d of %d bytes, %v", n, len(b), err)
		}
		if n > 0 {
			if m, err := FrameLength(append(b[:n:n], "+OK\r\n"...), 0); m != n || err != nil {
				t.Fatalf("got %d bytes, %v with more bytes after the frame, want %d", m, err, n)
			}
		}
	})
}

// anyFrame draws an array of strings.
func anyFrame(t *rapid.T) string {
	elements := rapid.IntRange(1, 5).Draw(t, "elements")
	frame := fmt.Sprintf("*%d\r\n", elements)
	for range elements {
		size := rapid.SampledFrom([]int{0, 1, 3, 100, 3000, 70000}).Draw(t, "size")
		frame += fmt.Sprintf("$%d\r\n%s\r\n", size, strings.Repeat("\r\n$", size)[:size])
	}
	return frame
}

// readAll returns the frames of a stream that is read in segments of random size.
func readAll(t *rapid.T, in *Inbox, stream string) []string {
	var frames []string
	read := func(p []byte) (int, error) {
		piece := rapid.SampledFrom([]int{1, 2, 7, 1000, 50000, 1 << 20}).Draw(t, "cut")
		n := copy(p, stream[:min(piece, len(stream))])
		stream = stream[n:]
		return n, nil
	}
	for {
		frame, err := in.Next()
		switch {
		case err != nil:
			t.Fatal(err)
		case frame != nil:
			frames = append(frames, string(frame))
			continue
		case stream == "":
			return frames
		}
		if err := in.Fill(read); err != nil {
			t.Fatal(err)
		}
	}
}

// The frames of a stream do not depend on the segments in which it arrives.
func TestAnySegmentation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []string
		for range rapid.IntRange(1, 4).Draw(t, "frames") {
			want = append(want, anyFrame(t))
		}
		in := Inbox{Max: 1 << 20}
		got := readAll(t, &in, strings.Join(want, ""))
		if !slices.Equal(got, want) || in.Partial() {
			t.Fatalf("got %d frames, partial: %v, want the %d that were sent", len(got), in.Partial(), len(want))
		}
	})
}

// A frame that exceeds the memory budget is skipped exactly to its end if its
// length is known.
func TestSkipFrame(t *testing.T) {
	in := Inbox{Max: 1 << 20, Budget: NewBudget(100)}
	stream := "*2\r\n$1\r\nx\r\n$50000\r\n" + strings.Repeat("y", 50000) + "\r\n" + "+OK\r\n"
	read := func(p []byte) (int, error) {
		if stream == "" {
			return 0, io.EOF
		}
		n := copy(p, stream)
		stream = stream[n:]
		return n, nil
	}
	var err error
	for err == nil {
		if _, err = in.Next(); err == nil {
			err = in.Fill(read)
		}
	}
	if !errors.Is(err, ErrMemory) {
		t.Fatalf("got %v, want %v", err, ErrMemory)
	}
	if skipped, err := in.SkipFrame(read); !skipped || err != nil {
		t.Fatalf("got %v, %v, want the frame skipped", skipped, err)
	}
	if err := in.Fill(read); err != nil {
		t.Fatal(err)
	}
	if frame, err := in.Next(); string(frame) != "+OK\r\n" || err != nil {
		t.Fatalf("got %q, %v after it, want +OK", frame, err)
	}
}
