package resp

import (
	"errors"
	"net"
	"time"

	"hitchspring/internal/metrics"
)

const acceptPause = 5 * time.Millisecond // after a failed accept

// accept accepts connections until the listener is closed. It acquires a slot before
// each, so that further connections wait in the listen queue.
func (f *Front) accept() {
	for {
		f.acquireSlot()
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example, out of file descriptors: retry after a pause
			<-f.slots
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(f, conn)
		c.turn.Add(acceptCost)
		if c.turn.Begin() {
			f.metrics.CommandDelayed(metrics.DelayedProcessorTime)
		}
		c.turn.End()
		f.mu.Lock()
		f.connections[c] = true
		f.serving.Add(1)
		closing := f.terminating.Load()
		f.mu.Unlock()
		if closing {
			c.close()
		}
		go c.serve()
	}
}

// Close closes the listener in this process only. Other processes that share the
// socket can still accept.
func (f *Front) Close() { f.listener.Close() }
