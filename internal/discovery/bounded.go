package discovery

import (
	"fmt"
	"io"
)

// maxList bounds one list, in bytes. 7,700 backends with names of 63 bytes and more take about 2 MiB, indented 3 MiB; what a
// list needs is allocated as it comes, so the bound costs nothing below it.
const maxListSize = 16 << 20

// errTooLong is the error of a list that exceeds maxList.
var errListTooLong = fmt.Errorf("a list of more than %d bytes", maxListSize)

// bounded reads so many bytes at most until more are allowed, and says when some have come.
type boundedReader struct {
	io.Reader
	remaining int
	onData    func() // called after each read that brought something
}

// Read is io.Reader's; beyond the bound it fails with errTooLong.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errListTooLong
	}
	n, err := b.Reader.Read(p[:min(len(p), b.remaining)])
	if n > 0 {
		b.remaining -= n
		b.onData()
	}
	return n, err
}
