package resp

import (
	"io"
	"net"
	"testing"
	"time"
)

// While memory is short, exactly those connections are closed whose client has not read
// for stalledReaderTimeout: none whose replies wait for an earlier one, and none whose
// client reads slowly.
func TestStalledReaderIsDisconnected(t *testing.T) {
	const limit = 1000
	front := New(nil, nil, 4, limit)
	connect := func() (*connection, net.Conn) {
		server, client := net.Pipe()
		c := newConnection(front, server)
		front.connections[c] = true
		done := make(chan struct{})
		go c.writeReplies(done)
		t.Cleanup(func() {
			client.Close()
			server.Close()
			close(done)
		})
		return c, client
	}
	stalled, stalledClient := connect()
	waiting, waitingClient := connect()
	slow, slowClient := connect()
	stalled.addPending(nil).complete(make([]byte, 20*maxWriteBytes))
	waiting.addPending(nil) // is not answered
	waiting.addPending(nil).complete(make([]byte, 40*maxWriteBytes))
	slow.addPending(nil).complete(make([]byte, 30*maxWriteBytes))
	// readOne reads one write of a connection, and returns once the next is under way.
	readOne := func(c *connection, client net.Conn) {
		t.Helper()
		progress, _ := c.writeProgress()
		written := progress.written
		if _, err := io.ReadFull(client, make([]byte, maxWriteBytes)); err != nil {
			t.Fatal("a connection was closed whose client reads:", err)
		}
		waitFor(t, "the next write", func() bool {
			progress, _ := c.writeProgress()
			return progress.writing && progress.written > written
		})
	}
	now := time.Now()
	for range 3 { // both read, slowly
		readOne(stalled, stalledClient)
		readOne(slow, slowClient)
		front.closeStalledReaders(now)
		now = now.Add(stalledReaderTimeout - time.Millisecond)
		front.closeStalledReaders(now)
	}
	readOne(slow, slowClient) // only one reads
	now = now.Add(time.Millisecond)
	front.closeStalledReaders(now)
	if stalled.abortReason.Load() == 0 {
		t.Error("the stalled reader's connection was not closed")
	}
	if waiting.abortReason.Load() != 0 {
		t.Error("a connection was closed whose replies wait for an earlier one")
	}
	readOne(slow, slowClient)
	waitingClient.Close()
}
