package resp

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/socket"
)

// Guards against a reply that is cut off because the front has ended the connection
// and closes it while its kernel still holds a part of the reply: the client's next
// command, which crosses the end, makes that close a reset.
func TestSlowReaderGetsWholeReplyBeforeTheEnd(t *testing.T) {
	const valueBytes = 1 << 20 // more than the client's kernel takes unread
	for name, c := range map[string]struct {
		end func(*testing.T, *testConnection)
		// afterwards is what the client gets after the value.
		afterwards string
	}{
		"ended by the server": {
			end: func(_ *testing.T, tc *testConnection) { tc.connection.close() },
		},
		"ended for a protocol error": {
			end:        func(t *testing.T, tc *testConnection) { t.Helper(); tc.send(t, "*x\r\n") },
			afterwards: "-ERR malformed RESP\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tc := newTestConnection(t, nil)
			if err := tc.client.SetReadBuffer(16 << 10); err != nil {
				t.Fatal(err)
			}
			tc.send(t, encodeRequest(1))
			request := tc.nextRequest(t)
			c.end(t, tc)
			value := bytes.Repeat([]byte("v"), valueBytes)
			request.Sink.Deliver(core.Answer{Kind: core.Served, Value: value})
			<-tc.connection.written
			tc.send(t, encodeRequest(2)) // crosses the end
			time.Sleep(2 * lingerTime)
			want := fmt.Sprintf("$%d\r\n%s\r\n%s", valueBytes, value, c.afterwards)
			got := make([]byte, len(want))
			for n := 0; n < len(got); { // some 1.3 MiB/s
				k, err := io.ReadFull(tc.replies, got[n:min(len(got), n+64<<10)])
				n += k
				if err != nil {
					t.Fatalf("got %d of %d bytes: %v", n, len(want), err)
				}
				time.Sleep(50 * time.Millisecond)
			}
			if string(got) != want {
				t.Error("the client got other bytes than were sent")
			}
		})
	}
}

// The end of a connection waits as long as its client acknowledges replies, and
// lingerTime more.
func TestDeliveryIsAwaitedWhileClientReads(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		unacked []int // at each lingerTime/2
		want    time.Duration
	}{
		"nothing outstanding":  {[]int{0, 0, 0, 0}, lingerTime},
		"unknown":              {[]int{socket.Unknown, socket.Unknown, socket.Unknown}, lingerTime},
		"all is acknowledged":  {[]int{30, 20, 10, 0, 0, 0, 0}, 3*lingerTime/2 + lingerTime},
		"no more acknowledged": {append([]int{30}, repeated(20, 100)...), lingerTime/2 + stalledReaderTimeout},
		"nothing acknowledged": {repeated(30, 100), stalledReaderTimeout},
		"acknowledged at pauses": {
			append(repeated(30, 10), append(repeated(20, 10), repeated(0, 10)...)...), 10*lingerTime + lingerTime,
		},
	} {
		d := newDelivery(start)
		got := time.Duration(-1)
		for i, unacked := range c.unacked {
			if at := time.Duration(i) * lingerTime / 2; !d.awaited(start.Add(at), unacked) {
				got = at
				break
			}
		}
		if got != c.want {
			t.Errorf("%s: the wait ended after %v, want %v", name, got, c.want)
		}
	}
}

// repeated returns a slice of n equal values.
func repeated(value, n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = value
	}
	return out
}

// Guards against a connection that stays open during a shutdown: the writer had written
// the last reply while the reader still counted the command as partial, and nobody asked
// for the end again.
func TestEndIsRequestedOnceCommandIsNoLongerPartial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, client := net.Pipe()
		c := newConnection(New(nil, newManualCore(1), 1, 1<<20), server)
		done := make(chan struct{})
		go c.writeReplies(done)
		c.hasPartialCommand.Store(true)
		c.close()
		c.addPending(nil).complete([]byte("-BUSY\r\n"))
		if _, err := io.ReadFull(client, make([]byte, len("-BUSY\r\n"))); err != nil {
			t.Fatal(err)
		}
		synctest.Wait() // the writer has looked whether a command is partial
		if isEndRequested(c) {
			t.Fatal("the end was requested within a command")
		}
		c.updatePartialDeadline(&commandProgress{}, time.Time{})
		synctest.Wait()
		if !isEndRequested(c) {
			t.Error("the end was not requested after the command")
		}
		close(done)
		client.Close()
		server.Close()
	})
}

func isEndRequested(c *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endRequested
}
