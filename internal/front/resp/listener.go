package resp

import (
	"errors"
	"net"
	"time"
)

const acceptPause = 5 * time.Millisecond // after an accept that failed

// accept takes connections until the listener closes.
func (f *Front) accept() {
	for {
		f.acquireSlot()
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say: a pause, then on
			<-f.slots
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(f, conn)
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

// Close closes the listener in this process; other processes that share the
// socket keep it.
func (f *Front) Close() { f.listener.Close() }
