package discovery

import (
	"fmt"
	"io"
)

// maxList bounds one list, in bytes. 7,700 backends with names of 63 bytes and more take about 2 MiB, indented 3 MiB; what a
// list needs is allocated as it comes, so the bound costs nothing below it.
const maxList = 16 << 20

// errTooLong is the error of a list that exceeds maxList.
var errTooLong = fmt.Errorf("a list of more than %d bytes", maxList)

// bounded reads so many bytes at most until more are allowed, and says when some have come.
type bounded struct {
	io.Reader
	left int
	came func() // called after each read that brought something
}

// Read is io.Reader's; beyond the bound it fails with errTooLong.
func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	if n > 0 {
		b.left -= n
		b.came()
	}
	return n, err
}
