package resp

import (
	"bytes"
	"testing"
)

// The head of a large value is found only if it is complete, and never in bytes
// that Frame would read otherwise.
func FuzzLarge(f *testing.F) {
	for _, seed := range []string{
		"*3\r\n$70000\r\nx",
		"*3\r\n$4194305\r\n",
		"*3\r\n$-1\r\n",
		"*3\r\n$65536\r\n",
		"*2\r\n$70000\r\n",
		"*3\r\n$7000",
		"*3\r\n$+70000\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		head, size, err := ParseLargeValueHeader(b)
		switch {
		case err != nil && (head != 0 || size != 0):
			t.Fatalf("got %d and %d with the error %v, want zeros", head, size, err)
		case size == 0:
			return
		case size <= MaxValue || size > MaxLargeValue || head > len(b) || !bytes.HasPrefix(b, []byte("*3\r\n$")):
			t.Fatalf("%q: got a head of %d bytes for a value of %d", b, head, size)
		}
		frame := append(append([]byte{}, b[:head]...), make([]byte, size)...)
		frame = append(frame, "\r\n$-1\r\n$-1\r\n"...)
		if n, _, err := scanFrame(frame, 0, MaxLargeValue); n != len(frame) || err != nil {
			t.Fatalf("%q: got a frame of %d bytes, %v, want %d", b[:head], n, err, len(frame))
		}
	})
}
