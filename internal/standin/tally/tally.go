// Package tally is a stand-in for the platform's shared counter service, written from its protocol specification: calls
// are lines of text over TCP, answered in order, that add to named counters with an expiry. Faults come from a fault
// script or from the control port (see Server.Do). The server records every call with its result. Counters are held in
// memory only, so a restart loses them.
package tally

import (
	"context"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"hitchspring/internal/standin/fault"
)

const (
	maxConnsPerCaller = 32 * 8 // 32 for each of 8 instances, which share one address on loopback
	maxExpiry         = 60 * time.Second
	maxNameLength     = 64
	maxAmount         = 1e9
	maxRecords        = 1 << 20
	readBufferSize    = 4 << 10
	writeTimeout      = 5 * time.Second
	listenAttempts    = 100 // the port may still be in use shortly after Stop
	listenInterval    = time.Millisecond
)

// Record describes one call that the server received.
type Record struct {
	// At is when the call was received, as the time since the server's start.
	At time.Duration
	// Conn identifies the connection.
	Conn int64
	// Caller is the caller's address without its port.
	Caller string
	// Name and Amount are the counter's name and the amount added; zero if the call was not applied.
	Name   string
	Amount float64
	// Applied reports whether the call took effect.
	Applied bool
	// Total is the counter's value after the call.
	Total float64
	// Fault is the kind of fault that hit the call; empty if none.
	Fault fault.Kind
}

// counter is one named counter.
type counter struct {
	total   float64
	expires time.Time
}

// Server is one counter server. It runs one goroutine to accept connections, one per connection, and one per pause of
// Restart and Do. Close stops them all and waits for them.
type Server struct {
	faults *fault.Script
	start  time.Time
	addr   string
	ctx    context.Context // done when the server is closed
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex          // guards the fields below
	ln         net.Listener        // nil while stopped
	conns      map[net.Conn]string // callers of the open connections
	lastConnID int64               // ID of the last connection
	counters   map[string]*counter
	records    []Record
}

// Start starts a server that listens on the address listen, or on an ephemeral loopback port if listen is empty. The
// seed is used for the fault script's probabilities.
func Start(listen string, seed uint64) (*Server, error) {
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("tally stand-in: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		faults:   fault.New(seed),
		start:    time.Now(),
		addr:     ln.Addr().String(),
		ctx:      ctx,
		stop:     stop,
		ln:       ln,
		conns:    map[net.Conn]string{},
		counters: map[string]*counter{},
	}
	s.wg.Go(func() { s.accept(ln) })
	return s, nil
}

// Addr returns the server's listen address.
func (s *Server) Addr() string { return s.addr }

// Since returns the time since the server's start. Records use the same clock.
func (s *Server) Since() time.Duration { return time.Since(s.start) }

// Fault adds a fault rule that applies from now on.
func (s *Server) Fault(rule fault.Rule) { s.faults.Add(s.Since(), rule) }

// Records returns the calls recorded so far, in the order in which they completed.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// Total returns the value of a counter, or 0 if it doesn't exist or has expired.
func (s *Server) Total(name string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.counters[name]; n != nil && time.Now().Before(n.expires) {
		return n.total
	}
	return 0
}

// Stop resets all connections and accepts no new ones until Listen is called. Counters are retained.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		s.ln.Close()
		s.ln = nil
	}
	for nc := range s.conns {
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close reset the connection; fails only if already closed
		}
		nc.Close()
	}
}

// Listen accepts connections again after Stop, at the same address. It returns an error if the port stays in use.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil || s.ctx.Err() != nil {
		return nil
	}
	var ln net.Listener
	var err error
	for range listenAttempts {
		if ln, err = net.Listen("tcp", s.addr); err == nil {
			s.ln = ln
			s.wg.Go(func() { s.accept(ln) })
			return nil
		}
		time.Sleep(listenInterval)
	}
	return fmt.Errorf("tally stand-in: %w", err)
}

// Restart resets all connections and deletes all counters. The server accepts connections again after the pause.
func (s *Server) Restart(pause time.Duration) {
	s.Stop()
	s.mu.Lock()
	clear(s.counters)
	s.mu.Unlock()
	s.listenAfter(pause)
}

// listenAfter accepts connections again after the pause, unless the server is closed before.
func (s *Server) listenAfter(pause time.Duration) {
	s.wg.Go(func() {
		if s.sleep(pause) {
			_ = s.Listen() // on an error, callers see refused connections
		}
	})
}

// Close stops the server permanently and waits for its goroutines.
func (s *Server) Close() {
	s.stop()
	s.Stop()
	s.wg.Wait()
}

// sleep waits for d. It returns false immediately if the server is closed.
func (s *Server) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// accept accepts and serves connections until the listener is closed.
func (s *Server) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		caller, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
		if !s.admit(nc, caller) {
			nc.Close()
		}
	}
}

// admit starts to serve a connection. It reports false if the caller has too many connections or the server is closed.
func (s *Server) admit(nc net.Conn, caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for _, other := range s.conns {
		if other == caller {
			open++
		}
	}
	if s.ctx.Err() != nil || open >= maxConnsPerCaller {
		return false
	}
	s.conns[nc] = caller
	s.lastConnID++
	c := &conn{server: s, nc: nc, caller: caller, id: s.lastConnID}
	s.wg.Go(func() {
		c.serve()
		nc.Close()
		s.mu.Lock()
		delete(s.conns, nc)
		s.mu.Unlock()
	})
	return true
}

// apply executes a call and returns the reply. It fills in rec if the call takes effect.
func (s *Server) apply(text string, rec *Record) []byte {
	args := strings.Fields(text) // tally NAME AMOUNT EXPIRY_MS
	if len(args) != 4 || args[0] != "tally" || len(args[1]) > maxNameLength {
		return []byte("error\r\n")
	}
	name := args[1]
	amount, amountErr := strconv.ParseFloat(args[2], 64)
	ms, expiryErr := strconv.ParseInt(args[3], 10, 64)
	if amountErr != nil || expiryErr != nil || ms < 1 || !(math.Abs(amount) <= maxAmount) { // also rejects NaN
		return []byte("error\r\n")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	n := s.counters[name]
	if n == nil || !now.Before(n.expires) {
		n = &counter{expires: now.Add(min(time.Duration(ms)*time.Millisecond, maxExpiry))}
		s.counters[name] = n
	}
	n.total += amount
	rec.Name, rec.Amount, rec.Applied, rec.Total = name, amount, true, n.total
	return append(strconv.AppendFloat([]byte("ok "), n.total, 'f', -1, 64), "\r\n"...)
}

// addRecord stores the record of a completed call, up to maxRecords.
func (s *Server) addRecord(rec Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) < maxRecords {
		s.records = append(s.records, rec)
	}
}
