package redis

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Close ends the server and all of its goroutines.
func (s *Server) Close() {
	s.stop()
	s.group.mu.Lock()
	s.down = true
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

func (s *Server) dropClients() {
	for c := range s.clients {
		reset(c.nc)
	}
}

// reset ends a connection as a killed process would.
func reset(nc net.Conn) {
	if tcp, ok := nc.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	nc.Close()
}

// Restart ends all connections and starts again with nothing: no keys, no scripts. It takes connections after pause.
func (s *Server) Restart(pause time.Duration) {
	s.Stop()
	s.group.mu.Lock()
	clear(s.dbs)
	s.scripts.flush()
	s.group.log, s.group.offset = nil, s.group.offset+len(s.group.log)
	for _, o := range s.group.servers {
		o.applied = s.group.offset
	}
	s.group.mu.Unlock()
	if pause <= 0 {
		_ = s.Listen() // clients see that no connection comes up
		return
	}
	s.after(pause, func() { _ = s.Listen() })
}

// Stop ends all connections and refuses new ones until Listen. The keys stay.
func (s *Server) Stop() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down = true
	if s.ln != nil {
		s.ln.Close()
	}
	s.dropClients()
}

// Listen takes connections again after Stop, at the same address.
func (s *Server) Listen() error {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if !s.down || s.ctx.Err() != nil {
		return nil
	}
	ln, err := listenAgain(s.ctx, s.addr)
	if err != nil {
		return err
	}
	s.serveOn(ln)
	return nil
}

// listenAgain waits for the port, which the old listener may hold for a moment more.
func listenAgain(ctx context.Context, addr string) (ln net.Listener, err error) {
	for range 100 {
		if ln, err = net.Listen("tcp", addr); err == nil || ctx.Err() != nil {
			return ln, err
		}
		time.Sleep(time.Millisecond)
	}
	return nil, fmt.Errorf("listening again: %w", err)
}

func (s *Server) serveOn(ln net.Listener) {
	if s.options.Wrap != nil {
		ln = s.options.Wrap(ln)
	}
	s.ln, s.down = ln, false
	s.wg.Go(func() { s.accept(ln) })
}

// sleep waits, and reports false where the server ended first.
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
