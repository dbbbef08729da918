// Package respclient implements the part of RESP2, the Redis protocol, that the lab's clients need. It encodes
// commands, and classifies the answers of an ingress as served, rejected or failed. The caller opens the connections.
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

// maxValueBytes is the maximum length of a value.
const maxValueBytes = 1 << 16

// Prefixes of answers, and the null answer.
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
	Value      string        // Served: the value; Failed: the error line
	RetryAfter time.Duration // Rejected: the delay before a retry, or 0 if none was given
}

// ErrClosed means that the connection was closed before the first byte of an answer.
var ErrClosed = errors.New("connection closed before an answer")

// EncodeCommand returns the RESP encoding of a command, given its name and arguments.
func EncodeCommand(arguments ...string) string {
	var command strings.Builder
	fmt.Fprintf(&command, "*%d\r\n", len(arguments))
	for _, argument := range arguments {
		fmt.Fprintf(&command, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return command.String()
}

// ReadAnswer reads one answer. The error is ErrClosed if the connection was closed or failed before the answer began,
// and a net.Error if the answer did not arrive before the connection's deadline.
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
		// An answer without a number has no retry delay: Atoi returns 0.
		milliseconds, _ := strconv.Atoi(strings.TrimSpace(retryAfter))
		return Answer{Kind: Rejected, RetryAfter: time.Duration(milliseconds) * time.Millisecond}, nil
	}
	return Answer{Kind: Failed, Value: line}, nil
}

// readValue reads a value whose length line was read before.
func readValue(in *bufio.Reader, lengthText string) (Answer, error) {
	length, err := strconv.Atoi(lengthText)
	if err != nil || length < 0 || length > maxValueBytes {
		return Answer{}, fmt.Errorf("answer has an invalid length %q", lengthText)
	}
	value := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(in, value); err != nil {
		return Answer{}, err
	}
	return Answer{Kind: Served, Value: string(value[:length])}, nil
}
