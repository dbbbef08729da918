package resp

import (
	"bytes"
	"strconv"
	"strings"
)

// lengthBound is the information on the length of an incomplete value.
type lengthBound struct {
	bytes int  // lower bound; 0: unknown
	exact bool // bytes is the exact length
}

// FrameLength returns the length of the RESP value at the start of b, or 0 if the
// value is incomplete. depth is the number of arrays that enclose the value. The
// parser trusts lengths and panics if one is huge or negative, so input must pass
// this function first.
func FrameLength(b []byte, depth int) (int, error) {
	size, _, err := scanFrame(b, depth, MaxValueBytes)
	return size, err
}

// scanFrame is FrameLength with a configurable bound on the length of a string. For
// an incomplete value it also returns a bound on the value's length.
func scanFrame(b []byte, depth, maxValue int) (int, lengthBound, error) {
	headerBytes, err := scanHeader(b, depth)
	if headerBytes == 0 || err != nil {
		return 0, lengthBound{}, err
	}
	kind := b[0]
	if kind != '$' && kind != '*' {
		return headerBytes, lengthBound{}, nil
	}
	n, valid := parseLength(b[1 : headerBytes-2])
	switch {
	case !valid || n < -1:
		return 0, lengthBound{}, ErrFraming
	case kind == '$' && n > maxValue || kind == '*' && n > maxElements:
		return 0, lengthBound{}, ErrTooLong
	case n < 0: // null
		return headerBytes, lengthBound{}, nil
	case kind == '$':
		return scanString(b, headerBytes, n)
	default:
		return scanElements(b, headerBytes, n, depth, maxValue)
	}
}

// scanHeader returns the length of the first line of a value, including its line
// end, or 0 if the line is incomplete.
func scanHeader(b []byte, depth int) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	end := bytes.IndexByte(b[:min(len(b), maxHeaderBytes)], '\n')
	switch {
	case end < 0 && len(b) >= maxHeaderBytes:
		return 0, ErrTooLong
	case !isKind(b[0]) || depth > maxDepth:
		return 0, ErrFraming
	case end < 0:
		return 0, nil
	case end < 2 || b[end-1] != '\r':
		return 0, ErrFraming
	}
	return end + 1, nil
}

// isKind reports whether b is the type byte of a RESP2 value.
func isKind(b byte) bool {
	switch b {
	case '+', '-', ':', '$', '*':
		return true
	default:
		return false
	}
}

func parseLength(digits []byte) (int, bool) {
	n, err := strconv.Atoi(string(digits))
	return n, err == nil
}

// scanString returns the length of a bulk string of n bytes, including its header.
func scanString(b []byte, headerBytes, n int) (int, lengthBound, error) {
	size := headerBytes + n + len("\r\n")
	if len(b) < size {
		return 0, lengthBound{bytes: size, exact: true}, nil
	}
	if b[size-2] != '\r' || b[size-1] != '\n' {
		return 0, lengthBound{}, ErrFraming
	}
	return size, lengthBound{}, nil
}

// scanElements returns the length of an array of n elements, including its header.
func scanElements(b []byte, headerBytes, n, depth, maxValue int) (int, lengthBound, error) {
	size := headerBytes
	for i := range n {
		element, bound, err := scanFrame(b[size:], depth+1, maxValue)
		if err != nil {
			return 0, lengthBound{}, err
		}
		if element == 0 && bound.bytes > 0 {
			bound.bytes += size
			bound.exact = bound.exact && i == n-1
		}
		if max(size+element, bound.bytes) > maxValue+frameOverheadBytes {
			return 0, lengthBound{}, ErrTooLong
		}
		if element == 0 {
			return 0, bound, nil
		}
		size += element
	}
	return size, lengthBound{}, nil
}

// largeValueStart is what a reply with a large value begins with: an array of three
// elements, the first of which is a string.
const largeValueStart = "*3\r\n$"

// MayBeLargeValueHeader reports whether b is the beginning of a header that
// ParseLargeValueHeader would accept once the rest of it is there.
func MayBeLargeValueHeader(b []byte) bool {
	if len(b) <= len(largeValueStart) {
		return strings.HasPrefix(largeValueStart, string(b))
	}
	digits, found := bytes.CutPrefix(b, []byte(largeValueStart))
	digits = bytes.TrimSuffix(digits, []byte{'\r'})
	return found && len(digits) < maxHeaderBytes && bytes.Trim(digits, "0123456789") == nil
}

// ParseLargeValueHeader checks whether b begins with an array of three elements
// whose first is a string longer than MaxBytes, which is forwarded as it arrives.
// It returns the number of bytes before the content of the string and the length
// of the string, or 0 for both if b begins otherwise. A string longer than
// MaxLargeValueBytes is ErrTooLong.
func ParseLargeValueHeader(b []byte) (headerBytes, valueBytes int, err error) {
	const start = len(largeValueStart)
	if len(b) <= start || string(b[:start]) != largeValueStart {
		return 0, 0, nil
	}
	rest := b[start:]
	end := bytes.IndexByte(rest[:min(len(rest), maxHeaderBytes)], '\n')
	if end < 2 || rest[end-1] != '\r' {
		return 0, 0, nil
	}
	n, valid := parseLength(rest[:end-1])
	switch {
	case !valid || n <= MaxValueBytes: // FrameLength handles these
		return 0, 0, nil
	case n > MaxLargeValueBytes:
		return 0, 0, ErrTooLong
	}
	return start + end + 1, n, nil
}
