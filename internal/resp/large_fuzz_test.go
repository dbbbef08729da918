package resp

import (
	"bytes"
	"testing"
)

// The header of a large value is found only if it is complete, and only if scanFrame
// accepts a frame with that header.
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
		headerBytes, size, err := ParseLargeValueHeader(b)
		switch {
		case err != nil && (headerBytes != 0 || size != 0):
			t.Fatalf("got lengths %d and %d with error %v, want zeros", headerBytes, size, err)
		case size == 0:
			return
		case size <= MaxValueBytes || size > MaxLargeValueBytes || headerBytes > len(b) ||
			!bytes.HasPrefix(b, []byte("*3\r\n$")):
			t.Fatalf("%q: got a header of %d bytes for a value of %d bytes", b, headerBytes, size)
		}
		frame := append(append([]byte{}, b[:headerBytes]...), make([]byte, size)...)
		frame = append(frame, "\r\n$-1\r\n$-1\r\n"...)
		if n, _, err := scanFrame(frame, 0, MaxLargeValueBytes); n != len(frame) || err != nil {
			t.Fatalf("%q: got a frame of %d bytes, %v, want %d", b[:headerBytes], n, err, len(frame))
		}
	})
}

// Each beginning of a large value's header may be one, and nothing else may: neither a
// complete header nor the beginning of another reply.
func TestMayBeLargeValueHeader(t *testing.T) {
	const header = "*3\r\n$204800\r\n"
	for cut := range len(header) {
		if !MayBeLargeValueHeader([]byte(header[:cut])) {
			t.Errorf("%q is not seen as the beginning of a header", header[:cut])
		}
	}
	for _, other := range []string{header, "-", "+", "$", "*2", "*3\r\n:", "*3\r\n$-1", "*3\r\n$5\r\nva", "*3\r\n$x"} {
		if MayBeLargeValueHeader([]byte(other)) {
			t.Errorf("%q is seen as the beginning of a header", other)
		}
	}
}
