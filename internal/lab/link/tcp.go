package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkSize         = 16 << 10 // bytes
	dialTimeout       = 2 * time.Second
	resetPollInterval = 5 * time.Millisecond
	// maxQueuedChunks is how many chunks one direction of a connection queues. It stops reading while the queue is
	// full.
	maxQueuedChunks = 256
	// maxConnectDelay is how long a new connection waits for a cut to end. Its client is assumed to give up then.
	maxConnectDelay = 200 * time.Millisecond
	// maxCutDelay is how long a chunk may wait for a cut to end. If the cut lasts longer, the connection is reset at
	// its end, because the sender has given up retransmitting.
	maxCutDelay = 900 * time.Millisecond
)

// TCPLink is a link for connections from one name to another. It has a goroutine that accepts, one that does
// resets, and four for each connection. Close ends them, and Network.Close waits for them.
type TCPLink struct {
	network    *Network
	toTarget   *direction
	fromTarget *direction
	target     string // address
	listener   net.Listener
	closeOnce  sync.Once

	mu          sync.Mutex            // guards all below
	targetConns map[net.Conn]net.Conn // by the connection of the client
	closed      bool
}

// AddTCPLink adds a link that listens on a loopback host and forwards connections to target.
func (n *Network) AddTCPLink(from, to, host, target string) (*TCPLink, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	l := &TCPLink{
		network:     n,
		toTarget:    n.addDirection(from, to),
		fromTarget:  n.addDirection(to, from),
		target:      target,
		listener:    listener,
		targetConns: map[net.Conn]net.Conn{},
	}
	n.onClose(l.Close)
	n.wg.Go(l.acceptLoop)
	n.wg.Go(l.resetLoop)
	return l, nil
}

// Addr returns the address that the link listens on.
func (l *TCPLink) Addr() string { return l.listener.Addr().String() }

// Close ends the link as if its target had stopped: it accepts no more connections and resets the open ones.
func (l *TCPLink) Close() {
	l.closeOnce.Do(func() {
		l.listener.Close()
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		l.resetConns()
	})
}

// resetConns resets all connections and reports whether there were any.
func (l *TCPLink) resetConns() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := len(l.targetConns) > 0
	for client, target := range l.targetConns {
		abort(client)
		abort(target)
	}
	clear(l.targetConns)
	return found
}

// isClosed reports whether Close was called.
func (l *TCPLink) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
		tcp.Close()
	}
}

// resetLoop performs the injected resets.
func (l *TCPLink) resetLoop() {
	for l.network.sleep(resetPollInterval) {
		if l.isClosed() {
			return
		}
		for _, d := range []*direction{l.toTarget, l.fromTarget} {
			if d.takeResets() && l.resetConns() {
				d.recordResets()
			}
		}
	}
}

func (l *TCPLink) acceptLoop() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.network.wg.Go(func() { l.serveConn(conn) })
	}
}

// awaitConnect waits while the first packet of a new connection is cut, and returns false once its client has given
// up.
func (l *TCPLink) awaitConnect() bool {
	began := time.Now()
	for t := l.toTarget.treat(0, true); t.lost; t = l.toTarget.treat(0, true) {
		wait := max(t.lostUntil-l.network.clock(), time.Millisecond)
		if !l.network.sleep(wait) || time.Since(began) > maxConnectDelay {
			return false
		}
	}
	return true
}

// track registers a connection so that the link's resets end it. It returns false if the link is closed.
func (l *TCPLink) track(client, target net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.targetConns[client] = target
	return true
}

// serveConn forwards a connection to the target until both directions have ended.
func (l *TCPLink) serveConn(client net.Conn) {
	if !l.awaitConnect() {
		abort(client)
		return
	}
	target, err := net.DialTimeout("tcp4", l.target, dialTimeout)
	if err != nil {
		abort(client)
		return
	}
	if !l.track(client, target) {
		abort(client)
		abort(target)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.copyChunks(l.toTarget, client, target) })
	both.Go(func() { l.copyChunks(l.fromTarget, target, client) })
	both.Wait()
	l.mu.Lock()
	delete(l.targetConns, client)
	l.mu.Unlock()
	client.Close()
	target.Close()
}

// chunk is data with the time at which it is written.
type chunk struct {
	data    []byte
	writeAt time.Time
	dropped bool // the connection is reset instead of writing it
}

// copyChunks copies one direction of a connection in order. A chunk that is delayed delays those behind it.
func (l *TCPLink) copyChunks(d *direction, from, to net.Conn) {
	chunks := make(chan chunk, maxQueuedChunks)
	done := make(chan struct{})
	l.network.wg.Go(func() {
		defer close(done)
		l.writeChunks(chunks, from, to)
	})
	err := l.readChunks(d, from, chunks)
	close(chunks)
	<-done
	if !errors.Is(err, io.EOF) {
		abort(to)
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only on a closed connection
	}
}

// readChunks reads chunks and queues them with the effects of the faults until reading fails.
func (l *TCPLink) readChunks(d *direction, from net.Conn, chunks chan<- chunk) error {
	for {
		buffer := make([]byte, chunkSize)
		size, err := from.Read(buffer)
		if size > 0 {
			chunks <- l.treatChunk(d, buffer[:size])
		}
		if err != nil {
			return err
		}
	}
}

// treatChunk applies the active faults to data that was read.
func (l *TCPLink) treatChunk(d *direction, data []byte) chunk {
	t := d.treat(len(data), true)
	if t.corrupted {
		l.network.corrupt(data)
	}
	writeAt := time.Now().Add(t.delay)
	cutDelay := time.Duration(0)
	if t.lost {
		cutDelay = max(0, t.lostUntil-l.network.clock())
	}
	return chunk{data: data, writeAt: writeAt.Add(cutDelay), dropped: cutDelay > maxCutDelay}
}

// writeChunks writes each chunk at its time until the queue is closed. After a failure it goes on to drain the queue,
// so that readChunks does not block.
func (l *TCPLink) writeChunks(chunks <-chan chunk, from, to net.Conn) {
	for c := range chunks {
		wait := time.Until(c.writeAt)
		if wait > 0 && !l.network.sleep(wait) || c.dropped {
			abort(to)
			abort(from)
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			abort(from)
		}
	}
}
