// Package respclient is what the lab's clients need of RESP2: the words of a command, and one answer of an ingress. It knows no load and no
// judge.
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

// mostValue is the longest value that is read.
const maxValueBytes = 1 << 16

// The kinds of answers.
const (
	Served   = "served"
	Rejected = "refused"
	Failed   = "failed"
)

// Answer is one answer of an ingress.
type Answer struct {
	Kind       string
	Value      string        // of one that served; the error's line of one that failed
	RetryAfter time.Duration // of a refusal: when to come back; 0: not told
}

// ErrEnded is a connection that ended before a byte of the answer.
var ErrClosed = errors.New("the connection has ended")

// Command words a command.
func EncodeCommand(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// Read reads one answer.
func ReadAnswer(in *bufio.Reader) (Answer, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		var ne net.Error
		if line == "" && !(errors.As(err, &ne) && ne.Timeout()) {
			return Answer{}, ErrClosed
		}
		return Answer{}, err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "$") && line != "$-1":
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 || n > maxValueBytes {
			return Answer{}, fmt.Errorf("an answer of length %q", line[1:])
		}
		b := make([]byte, n+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return Answer{}, err
		}
		return Answer{Kind: Served, Value: string(b[:n])}, nil
	case strings.HasPrefix(line, "-BUSY"):
		after, _ := strconv.Atoi(strings.TrimSpace(line[len("-BUSY"):]))
		return Answer{Kind: Rejected, RetryAfter: time.Duration(after) * time.Millisecond}, nil
	}
	return Answer{Kind: Failed, Value: line}, nil
}
