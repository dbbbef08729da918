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
	// partialReplyTimeout is for the rest of a reply that has begun to arrive: a few bytes.
	partialReplyTimeout = 20 * time.Millisecond
	// maxTotal is the highest total that a reply may hold.
	maxTotal = 1e12
)

// unreadable is the result of a reply that cannot be read: the amount was added.
var unreadable = store.Result{Certainty: store.Added}

// readLine waits for a reply. Once one has begun its end must come too, or the calls behind it would wait for nothing.
func readLine(nc net.Conn, in *bufio.Reader) ([]byte, error) {
	if _, err := in.Peek(1); err != nil {
		return nil, err
	}
	if begun, _ := in.Peek(in.Buffered()); bytes.IndexByte(begun, '\n') < 0 {
		nc.SetReadDeadline(time.Now().Add(partialReplyTimeout))
	}
	return in.ReadSlice('\n')
}

// parseReply reads one line of the service.
func parseReply(line string) store.Result {
	line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
	if line == "busy" || line == "error" { // overloaded, or not understood
		return store.Result{Certainty: store.NotAdded}
	}
	if text, ok := strings.CutPrefix(line, "ok "); ok {
		if total, err := strconv.ParseFloat(text, 64); err == nil && math.Abs(total) <= maxTotal {
			return store.Result{Certainty: store.Added, Seen: true, Total: total}
		}
	}
	return unreadable
}

// appendCall appends the line of a call: name, amount, and the time to live of a new name in milliseconds.
func appendCall(b []byte, call *store.Call) []byte {
	b = append(append(b, "tally "...), call.Name...)
	b = strconv.AppendFloat(append(b, ' '), call.Amount, 'f', -1, 64)
	b = strconv.AppendInt(append(b, ' '), max(1, call.TTL.Milliseconds()), 10)
	return append(b, '\r', '\n')
}
