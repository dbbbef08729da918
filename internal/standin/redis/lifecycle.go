package redis

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Close stops the server and waits for its goroutines.
func (s *Server) Close() {
	s.stop()
	s.group.mu.Lock()
	s.stopped = true
	if s.ln != nil {
		s.ln.Close()
	}
	s.dropClients()
	s.group.mu.Unlock()
	s.wg.Wait()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.scripts.interpreter != nil {
		s.scripts.interpreter.Close()
		s.scripts.interpreter = nil
	}
}

// dropClients resets all connections. The caller must hold group.mu.
func (s *Server) dropClients() {
	for c := range s.clients {
		reset(c.nc)
	}
}

// reset closes a connection with a TCP reset, as when a process is killed with unread input.
func reset(nc net.Conn) {
	if tcp, ok := nc.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	nc.Close()
}

// Restart resets all connections and deletes all keys and scripts. The server accepts connections again after pause.
func (s *Server) Restart(pause time.Duration) {
	s.Stop()
	s.group.mu.Lock()
	clear(s.dbs)
	s.scripts.flush()
	s.group.log, s.group.logOffset = nil, s.group.logOffset+len(s.group.log)
	for _, o := range s.group.servers {
		o.appliedOffset = s.group.logOffset
	}
	s.group.mu.Unlock()
	if pause <= 0 {
		_ = s.Listen() // on an error, clients see refused connections
		return
	}
	s.after(pause, func() { _ = s.Listen() })
}

// Stop resets all connections and refuses new ones until Listen is called. Keys are retained.
func (s *Server) Stop() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.stopped = true
	if s.ln != nil {
		s.ln.Close()
	}
	s.dropClients()
}

// Listen accepts connections again after Stop, at the same address.
func (s *Server) Listen() error {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if !s.stopped || s.ctx.Err() != nil {
		return nil
	}
	ln, err := listenAgain(s.ctx, s.addr)
	if err != nil {
		return err
	}
	s.serveOn(ln)
	return nil
}

// listenAgain listens on addr, retrying while the port is still in use by the closed listener.
func listenAgain(ctx context.Context, addr string) (ln net.Listener, err error) {
	for range 100 {
		if ln, err = net.Listen("tcp", addr); err == nil || ctx.Err() != nil {
			return ln, err
		}
		time.Sleep(time.Millisecond)
	}
	return nil, fmt.Errorf("listening again: %w", err)
}

// serveOn starts to accept connections from a listener. The caller must hold group.mu.
func (s *Server) serveOn(ln net.Listener) {
	if s.options.WrapListener != nil {
		ln = s.options.WrapListener(ln)
	}
	s.ln, s.stopped = ln, false
	s.wg.Go(func() { s.accept(ln) })
}

// sleep waits for d. It reports false if the server is closed before.
func (s *Server) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}
