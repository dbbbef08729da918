package discovery

import (
	"fmt"
	"io"
)

// maxListSize bounds one list, in bytes. 7,700 backends with names of at least 63 bytes take about 2 MiB, or 3 MiB if
// indented. Memory is allocated as the list arrives, so a smaller list costs no more because of this bound.
const maxListSize = 16 << 20

// errListTooLong is the error of a list that exceeds maxListSize.
var errListTooLong = fmt.Errorf("list exceeds %d bytes", maxListSize)

// boundedReader reads up to a number of bytes. The caller raises the bound by setting remaining.
type boundedReader struct {
	io.Reader
	remaining int    // bytes that may still be read
	onData    func() // called after each read that returned data
}

// Read implements io.Reader. Beyond the bound it returns errListTooLong.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errListTooLong
	}
	n, err := r.Reader.Read(p[:min(len(p), r.remaining)])
	if n > 0 {
		r.remaining -= n
		r.onData()
	}
	return n, err
}
