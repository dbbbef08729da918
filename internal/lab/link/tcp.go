package link

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkSize      = 16 << 10
	dialTimeout   = 2 * time.Second
	resetPollInterval = 5 * time.Millisecond   // resets are looked for
	maxQueuedChunks   = 256                    // chunks that one direction of a connection holds back
	maxConnectDelay   = 200 * time.Millisecond // that a connection waits for its first packet
	maxCutDelay   = 900 * time.Millisecond // that a cut lasts on: what it has held for longer is reset at its end, as who sent it has given it up
)

// Stream is a link for connections from one name to another.
type TCPLink struct {
	network       *Network
	toTarget     *direction // towards the target
	fromTarget      *direction
	target    string
	listener        net.Listener
	mu        sync.Mutex // of all below
	targetConns     map[net.Conn]net.Conn
	closed      bool
	closeOnce sync.Once
}

// Streams opens a link for connections, at an address of a loopback host; what comes there goes on to target.
func (n *Network) AddTCPLink(from, to, host, target string) (*TCPLink, error) {
	ln, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &TCPLink{network: n, toTarget: n.addDirection(from, to), fromTarget: n.addDirection(to, from), target: target, listener: ln, targetConns: map[net.Conn]net.Conn{}}
	n.onClose(s.Close)
	n.wg.Go(s.acceptLoop)
	n.wg.Go(s.resetLoop)
	return s, nil
}

// Addr is where it listens.
func (s *TCPLink) Addr() string { return s.listener.Addr().String() }

// Close ends the link: its target is no more, so nobody can connect to it, and what is open is reset.
func (s *TCPLink) Close() {
	s.closeOnce.Do(func() {
		s.listener.Close()
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
		s.resetConns()
	})
}

func (s *TCPLink) resetConns() (any bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, b := range s.targetConns {
		abort(a)
		abort(b)
		any = true
	}
	clear(s.targetConns)
	return any
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
		t.Close()
	}
}

// resets carries out resets as they are asked for.
func (s *TCPLink) resetLoop() {
	for s.network.sleep(resetPollInterval) {
		s.mu.Lock()
		shut := s.closed
		s.mu.Unlock()
		if shut {
			return
		}
		for _, w := range []*direction{s.toTarget, s.fromTarget} {
			if w.takeResets() && s.resetConns() {
				w.mu.Lock()
				for _, a := range w.records {
					if a.Fault.Kind == Reset && a.Count == 0 {
						a.add(s.network.clock())
					}
				}
				w.mu.Unlock()
			}
		}
	}
}

func (s *TCPLink) acceptLoop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.network.wg.Go(func() { s.serveConn(c) })
	}
}

// carry joins a connection with one to the target.
func (s *TCPLink) serveConn(c net.Conn) {
	began := time.Now()
	for f := s.toTarget.treat(0, true); f.lost; f = s.toTarget.treat(0, true) { // its first packet is cut
		if !s.network.sleep(max(f.lostUntil-s.network.clock(), time.Millisecond)) || time.Since(began) > maxConnectDelay {
			abort(c) // who dialled has given it up, whatever it has written meanwhile
			return
		}
	}
	d, err := net.DialTimeout("tcp4", s.target, dialTimeout)
	if err != nil {
		abort(c)
		return
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		abort(c)
		abort(d)
		return
	}
	s.targetConns[c] = d
	s.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { s.copyChunks(s.toTarget, c, d) })
	both.Go(func() { s.copyChunks(s.fromTarget, d, c) })
	both.Wait()
	s.mu.Lock()
	delete(s.targetConns, c)
	s.mu.Unlock()
	c.Close()
	d.Close()
}

// part is a chunk that is to be written at a time.
type chunk struct {
	data []byte
	writeAt   time.Time
	dropped bool // it is not written, the connection ends
}

// pass carries one direction, in order: what is held or late holds what comes behind it.
func (s *TCPLink) copyChunks(w *direction, from, to net.Conn) {
	parts := make(chan chunk, maxQueuedChunks)
	done := make(chan struct{})
	s.network.wg.Go(func() {
		defer close(done)
		for p := range parts {
			if d := time.Until(p.writeAt); d > 0 && !s.network.sleep(d) || p.dropped {
				abort(to)
				abort(from)
				continue
			}
			if _, err := to.Write(p.data); err != nil {
				abort(from)
			}
		}
	})
	for {
		b := make([]byte, chunkSize)
		k, err := from.Read(b)
		if k > 0 {
			f := w.treat(k, true)
			if f.corrupted {
				s.network.corrupt(b[:k])
			}
			at := time.Now().Add(f.delay)
			cut := time.Duration(0)
			if f.lost {
				cut = max(0, f.lostUntil-s.network.clock())
			}
			parts <- chunk{data: b[:k], writeAt: at.Add(cut), dropped: cut > maxCutDelay}
		}
		if err != nil {
			close(parts)
			<-done
			if err == io.EOF {
				if t, ok := to.(*net.TCPConn); ok {
					t.CloseWrite()
				}
			} else {
				abort(to)
			}
			return
		}
	}
}
