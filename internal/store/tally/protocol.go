package tally

import (
	"bufio"
	"bytes"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"hitchspring/internal/store"
)

const (
	// partialReplyTimeout limits the wait for the rest of a partially received reply, which is a few bytes.
	partialReplyTimeout = 20 * time.Millisecond
	// maxTotal is the highest absolute total accepted in a reply.
	maxTotal = 1e12
)

// unreadable is the result for a reply that cannot be parsed: the amount counts as added, without a known total.
var unreadable = store.Result{Certainty: store.Added}

// readLine reads one reply. The rest of a partially received reply must arrive within partialReplyTimeout; otherwise
// the calls behind it would wait in vain.
func readLine(nc net.Conn, in *bufio.Reader) ([]byte, error) {
	if _, err := in.Peek(1); err != nil {
		return nil, err
	}
	if begun, _ := in.Peek(in.Buffered()); bytes.IndexByte(begun, '\n') < 0 {
		nc.SetReadDeadline(time.Now().Add(partialReplyTimeout))
	}
	return in.ReadSlice('\n')
}

// parseReply parses one reply line.
func parseReply(line string) store.Result {
	line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
	if line == "busy" || line == "error" { // the service is overloaded or rejected the syntax
		return store.Result{Certainty: store.NotAdded}
	}
	if text, ok := strings.CutPrefix(line, "ok "); ok {
		if total, err := strconv.ParseFloat(text, 64); err == nil && math.Abs(total) <= maxTotal {
			return store.Result{Certainty: store.Added, Seen: true, Total: total}
		}
	}
	return unreadable
}

// appendCall appends the request line of a call: name, amount, and the time to live of a new name in milliseconds.
func appendCall(b []byte, call *store.Call) []byte {
	b = append(append(b, "tally "...), call.Name...)
	b = strconv.AppendFloat(append(b, ' '), call.Amount, 'f', -1, 64)
	b = strconv.AppendInt(append(b, ' '), max(1, call.TTL.Milliseconds()), 10)
	return append(b, '\r', '\n')
}
