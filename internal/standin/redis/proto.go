package redis

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits on what a client may send. Redis itself allows far more, which no test needs.
const (
	maxInlineLength  = 64 << 10
	maxArgs          = 64 << 10
	maxBulkLength    = 4 << 20
	maxCommandLength = 16 << 20
)

// protoError is a protocol error. It is sent to the client as -ERR Protocol error, and the connection is closed.
type protoError string

func (e protoError) Error() string { return "Protocol error: " + string(e) }

// readCommand reads one command, either an array of bulk strings or an inline command. The result is empty for an empty
// command, which gets no reply.
func readCommand(in *bufio.Reader) ([]string, error) {
	head, err := readLine(in)
	if err != nil {
		return nil, err
	}
	if head == "" {
		return nil, nil
	}
	if head[0] != '*' {
		return splitInline(head)
	}
	n, err := strconv.Atoi(head[1:])
	if err != nil || n > maxArgs {
		return nil, protoError("invalid multibulk length")
	}
	if n <= 0 {
		return nil, nil
	}
	args := make([]string, 0, min(n, 64))
	left := maxCommandLength
	for range n {
		arg, err := readBulk(in, left)
		if err != nil {
			return nil, err
		}
		left -= len(arg)
		args = append(args, arg)
	}
	return args, nil
}

// readBulk reads one bulk string of at most left bytes, the rest of the command's length limit.
func readBulk(in *bufio.Reader, left int) (string, error) {
	line, err := readLine(in)
	if err != nil {
		return "", err
	}
	if line == "" || line[0] != '$' {
		return "", protoError(fmt.Sprintf("expected '$', got '%.1s'", line+" "))
	}
	length, err := strconv.Atoi(line[1:])
	if err != nil || length < 0 || length > maxBulkLength {
		return "", protoError("invalid bulk length")
	}
	if length > left {
		return "", protoError("command too large")
	}
	b := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(in, b); err != nil {
		return "", err
	}
	if b[length] != '\r' || b[length+1] != '\n' {
		return "", protoError("bulk string without its end")
	}
	return string(b[:length]), nil
}

// readLine reads a line and returns it without its line ending.
func readLine(in *bufio.Reader) (string, error) {
	var b []byte
	for {
		part, err := in.ReadSlice('\n')
		b = append(b, part...)
		if len(b) > maxInlineLength {
			return "", protoError("too big inline request")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return "", err
		}
		return strings.TrimSuffix(string(b[:len(b)-1]), "\r"), nil
	}
}
