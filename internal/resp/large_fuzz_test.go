package resp

import (
	"bytes"
	"fmt"
	"testing"
)

// The head of a large value is found only where it is whole, and never in a way that Frame would read otherwise.
func FuzzLarge(f *testing.F) {
	for _, s := range []string{"*3\r\n$70000\r\nx", "*3\r\n$4194305\r\n", "*3\r\n$-1\r\n", "*3\r\n$65536\r\n", "*2\r\n$70000\r\n", "*3\r\n$7000", "*3\r\n$+70000\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		head, size, err := Large(b)
		switch {
		case err != nil && (head != 0 || size != 0):
			t.Fatalf("%d, %d with %v", head, size, err)
		case size == 0:
			return
		case size <= MaxValue || size > MaxLarge || head > len(b) || !bytes.HasPrefix(b, []byte("*3\r\n$")):
			t.Fatalf("%q is a head of %d bytes for a value of %d", b, head, size)
		}
		whole := append(append([]byte{}, b[:head]...), make([]byte, size)...)
		whole = append(whole, "\r\n$-1\r\n$-1\r\n"...)
		if n, _, err := scanFrame(whole, 0, MaxLarge); n != len(whole) || err != nil {
			t.Fatalf("%s of %d is a frame of %d, %v", fmt.Sprintf("%q", b[:head]), len(whole), n, err)
		}
	})
}
