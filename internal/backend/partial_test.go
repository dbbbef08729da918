package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hitchspring/internal/resp"
	"hitchspring/policy"
)

// startReader starts the reader of a connection whose backend is the returned end of a pipe. Its events are returned in
// order; the channel is closed at the reader's end. A streamed value is read and dropped.
func startReader(t *testing.T) (c *conn, server net.Conn, events <-chan Event) {
	t.Helper()
	client, server := net.Pipe()
	c = &conn{backend: &backendPool{}, nc: client, readerDone: make(chan struct{})}
	posted := make(chan Event, 16)
	go func() {
		defer close(posted)
		c.read(context.Background(), func(ev Event) {
			if started, ok := ev.(streamStarted); ok {
				go io.Copy(io.Discard, started.stream)
			}
			posted <- ev
		})
	}()
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return c, server, posted
}

// writePieces writes a reply that is cut at the given offsets, with a pause before each piece but the first.
func writePieces(server io.Writer, reply string, cuts []int, pause time.Duration) {
	from := 0
	for _, cut := range append(slices.Clone(cuts), len(reply)) {
		if from > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(server, reply[from:cut]); err != nil {
			return
		}
		from = cut
	}
}

// Guards against a reply that is cut off 0.2 s after its first byte although the backend
// still gives it: a value of any length, also cut within its header, an error and a
// rejection.
func TestReplyInPiecesIsNotCutOff(t *testing.T) {
	pauses := []time.Duration{400 * time.Millisecond, 900 * time.Millisecond, 1490 * time.Millisecond}
	for reply, want := range map[string]policy.Outcome{
		longReply(200 << 10): policy.Succeeded,
		"*3\r\n$9\r\nthe value\r\n$-1\r\n$7\r\nload=.5\r\n": policy.Succeeded,
		"-ERR failed\r\n": policy.Failed,
		"-BUSY\r\n":       policy.Rejected,
	} {
		header := min(len("*3\r\n$204800\r\n"), len(reply)-1)
		cuts := [][]int{{1, 3, 5, header}}
		for cut := 1; cut <= header; cut++ {
			cuts = append(cuts, []int{cut})
		}
		for _, cut := range cuts {
			for _, pause := range pauses {
				synctest.Test(t, func(t *testing.T) { testReplyInPieces(t, reply, cut, pause, want) })
			}
		}
	}
}

func testReplyInPieces(t *testing.T, reply string, cuts []int, pause time.Duration, want policy.Outcome) {
	_, server, events := startReader(t)
	defer server.Close()
	go writePieces(server, reply, cuts, pause)
	for ev := range events {
		got, isReply := ev.(replyReceived)
		switch {
		case !isReply:
		case got.outcome != want || !got.reusable:
			t.Errorf("%.20q cut at %v with pauses of %v: %+v, want outcome %v", reply, cuts, pause, got, want)
			return
		default:
			return
		}
	}
	t.Errorf("%.20q cut at %v with pauses of %v: the connection was closed", reply, cuts, pause)
}

// longReply returns a backend's reply with a value of so many bytes.
func longReply(size int) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", size, strings.Repeat("v", size))
}

// A backend that falls silent within a reply holds its connection for replyStallTimeout.
func TestSilenceWithinReplyEndsConnection(t *testing.T) {
	for _, part := range []string{"*", "*3\r\n$2048", "*3\r\n$9\r\nthe", "-ERR fai", "+"} {
		synctest.Test(t, func(t *testing.T) {
			_, server, events := startReader(t)
			began := time.Now()
			io.WriteString(server, part)
			if ev, more := <-events; more {
				t.Errorf("%q: event %+v, want the end", part, ev)
			}
			if took := time.Since(began); took != replyStallTimeout {
				t.Errorf("%q: ended after %v, want %v", part, took, replyStallTimeout)
			}
		})
	}
}

// Guards against a duplicate that arrives in two pieces and is taken for the reply to a
// command that was written between them, another client's.
func TestRestOfReplyIsNotTakenForNextCommand(t *testing.T) {
	for _, reply := range []string{longReply(resp.MaxValueBytes + 1), served, "-BUSY\r\n"} {
		for _, cut := range []int{1, 5, 6} {
			synctest.Test(t, func(t *testing.T) { testRestOfReply(t, reply, cut) })
		}
	}
}

func testRestOfReply(t *testing.T, reply string, cut int) {
	c, server, events := startReader(t)
	defer server.Close()
	earlier, next := &Attempt{Number: 1}, &Attempt{Number: 2}
	c.lastWritten.Store(earlier)
	io.WriteString(server, reply[:cut])
	synctest.Wait()
	if got := c.peek(); got != socketReadable {
		t.Errorf("%.20q cut at %d: the connection is %v, want it not reused", reply, cut, got)
	}
	c.lastWritten.Store(next)
	go io.WriteString(server, reply[cut:])
	var owner *Attempt
	switch ev := (<-events).(type) {
	case replyReceived:
		owner = ev.attempt
	case streamStarted:
		owner = ev.attempt
		<-events // the end of the value
	}
	if owner != earlier {
		t.Errorf("%.20q cut at %d: it was taken for the reply to the next command", reply, cut)
	}
}
