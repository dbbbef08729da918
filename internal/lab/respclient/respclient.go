// Package respclient is what the lab's clients need of RESP2, the protocol of Redis. It encodes a command, and
// reads one answer of an ingress as served, rejected or failed. It opens no connection and knows no load and no
// rule.
package respclient

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// maxValueBytes is the longest value that is read.
const maxValueBytes = 1 << 16

// The prefixes of answers, and the answer without a value.
const (
	valuePrefix  = "$"
	noValue      = "$-1"
	rejectPrefix = "-BUSY"
)

// The kinds of answers.
const (
	Served   = "served"
	Rejected = "refused"
	Failed   = "failed"
)

// Answer is one answer of an ingress.
type Answer struct {
	Kind       string        // Served, Rejected or Failed
	Value      string        // of Served; of Failed: the line of the error
	RetryAfter time.Duration // of Rejected: when to retry; 0: not given
}

// ErrClosed means that the connection was closed before a byte of the answer.
var ErrClosed = errors.New("the connection has ended")

// EncodeCommand returns the bytes of a command with its arguments.
func EncodeCommand(arguments ...string) string {
	var command strings.Builder
	fmt.Fprintf(&command, "*%d\r\n", len(arguments))
	for _, argument := range arguments {
		fmt.Fprintf(&command, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return command.String()
}

// ReadAnswer reads one answer. The error is ErrClosed if the connection was closed or broke before it, and a
// net.Error if it did not arrive before the connection's deadline.
func ReadAnswer(in *bufio.Reader) (Answer, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		var netErr net.Error
		timedOut := errors.As(err, &netErr) && netErr.Timeout()
		if line == "" && !timedOut {
			return Answer{}, ErrClosed
		}
		return Answer{}, err
	}
	line = strings.TrimRight(line, "\r\n")
	if strings.HasPrefix(line, valuePrefix) && line != noValue {
		return readValue(in, line[len(valuePrefix):])
	}
	if retryAfter, rejected := strings.CutPrefix(line, rejectPrefix); rejected {
		// An answer without a number leaves the time at 0.
		milliseconds, _ := strconv.Atoi(strings.TrimSpace(retryAfter))
		return Answer{Kind: Rejected, RetryAfter: time.Duration(milliseconds) * time.Millisecond}, nil
	}
	return Answer{Kind: Failed, Value: line}, nil
}

// readValue reads the value of a length that was read before.
func readValue(in *bufio.Reader, lengthText string) (Answer, error) {
	length, err := strconv.Atoi(lengthText)
	if err != nil || length < 0 || length > maxValueBytes {
		return Answer{}, fmt.Errorf("an answer of length %q", lengthText)
	}
	value := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(in, value); err != nil {
		return Answer{}, err
	}
	return Answer{Kind: Served, Value: string(value[:length])}, nil
}
