// Package tally is a stand-in for the platform's shared counter, written from its protocol page: lines of text over
// TCP, answered in order, that add to named numbers with an expiry. Faults come from a fault script, and control.go
// reads the lines of the control port. An observer records every call with what became of it. Nothing is stored on
// disk: a restart loses all counts.
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
	maxConnsPerCaller = 32 * 8 // 32 of each instance; on loopback all instances share one address
	maxExpiry         = 60 * time.Second
	maxNameLength     = 64
	maxAmount         = 1e9
	maxRecords        = 1 << 20
	readBufferSize    = 4 << 10
	writeTimeout      = 5 * time.Second
	listenAttempts    = 100 // the port may be in use for a moment after Stop
	listenInterval    = time.Millisecond
)

// Record is one call as the counter saw it.
type Record struct {
	// At is when the call was received, since the start of the server.
	At time.Duration
	// Conn identifies the connection.
	Conn int64
	// Caller is the caller's address without its port.
	Caller string
	// Name and Amount are the call's number and what it added; zero if it was not applied.
	Name   string
	Amount float64
	// Applied says whether the call took effect.
	Applied bool
	// Total is the number's value after the call.
	Total float64
	// Fault is the kind of fault that hit the call; empty if none did.
	Fault fault.Kind
}

// number is one shared count.
type number struct {
	total   float64
	expires time.Time
}

// Server is one counter. It runs a goroutine that accepts connections, one for each connection, and one for each
// pause of Restart and Do; Close ends them all and waits for them.
type Server struct {
	faults *fault.Script
	start  time.Time
	addr   string
	ctx    context.Context // done when the server is closed
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex          // guards all below
	ln      net.Listener        // nil while stopped
	conns   map[net.Conn]string // open connections, and their callers
	lastID  int64               // of a connection
	numbers map[string]*number
	records []Record
}

// Start starts a counter that listens on the address listen, or on an ephemeral loopback port if that is empty. The
// seed is that of the fault script.
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
		faults:  fault.New(seed),
		start:   time.Now(),
		addr:    ln.Addr().String(),
		ctx:     ctx,
		stop:    stop,
		ln:      ln,
		conns:   map[net.Conn]string{},
		numbers: map[string]*number{},
	}
	s.wg.Go(func() { s.accept(ln) })
	return s, nil
}

// Addr returns the address where the server listens.
func (s *Server) Addr() string { return s.addr }

// Since returns the time since the server's start, the clock of its records.
func (s *Server) Since() time.Duration { return time.Since(s.start) }

// Fault puts a rule in force from now on.
func (s *Server) Fault(rule fault.Rule) { s.faults.Add(s.Since(), rule) }

// Records returns the calls received so far, in the order in which they ended.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// Total returns the value of a number, or 0 if there is none or it has expired.
func (s *Server) Total(name string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.numbers[name]; n != nil && time.Now().Before(n.expires) {
		return n.total
	}
	return 0
}

// Stop resets all connections and accepts no new ones until Listen. The counts stay.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		s.ln.Close()
		s.ln = nil
	}
	for nc := range s.conns {
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // so that Close resets the connection; fails only if it has ended
		}
		nc.Close()
	}
}

// Listen accepts connections again after Stop. It returns an error if the port cannot be opened.
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

// Restart loses all counts and resets all connections. It accepts new ones after a pause.
func (s *Server) Restart(pause time.Duration) {
	s.Stop()
	s.mu.Lock()
	clear(s.numbers)
	s.mu.Unlock()
	s.listenAfter(pause)
}

// listenAfter accepts connections again after a pause, unless the server is closed by then.
func (s *Server) listenAfter(pause time.Duration) {
	s.wg.Go(func() {
		if s.sleep(pause) {
			_ = s.Listen() // callers see that no connection comes up
		}
	})
}

// Close stops the server for good and waits for its goroutines.
func (s *Server) Close() {
	s.stop()
	s.Stop()
	s.wg.Wait()
}

// sleep waits for d. It reports false, at once, when the server is closed.
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

// accept serves the connections of a listener until it is closed.
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

// admit starts to serve a connection, unless its caller has too many or the server is closed.
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
	s.lastID++
	c := &conn{server: s, nc: nc, caller: caller, id: s.lastID}
	s.wg.Go(func() {
		c.serve()
		nc.Close()
		s.mu.Lock()
		delete(s.conns, nc)
		s.mu.Unlock()
	})
	return true
}

// apply carries out a call and returns its reply. It fills in rec if the call took effect.
func (s *Server) apply(text string, rec *Record) []byte {
	args := strings.Fields(text) // tally NAME AMOUNT EXPIRY-MS
	if len(args) != 4 || args[0] != "tally" || len(args[1]) > maxNameLength {
		return []byte("error\r\n")
	}
	name := args[1]
	amount, amountErr := strconv.ParseFloat(args[2], 64)
	ms, expiryErr := strconv.ParseInt(args[3], 10, 64)
	if amountErr != nil || expiryErr != nil || ms < 1 || !(math.Abs(amount) <= maxAmount) { // NaN is not
		return []byte("error\r\n")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	n := s.numbers[name]
	if n == nil || !now.Before(n.expires) {
		n = &number{expires: now.Add(min(time.Duration(ms)*time.Millisecond, maxExpiry))}
		s.numbers[name] = n
	}
	n.total += amount
	rec.Name, rec.Amount, rec.Applied, rec.Total = name, amount, true, n.total
	return append(strconv.AppendFloat([]byte("ok "), n.total, 'f', -1, 64), "\r\n"...)
}

// addRecord keeps the record of a call that has ended.
func (s *Server) addRecord(rec Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) < maxRecords {
		s.records = append(s.records, rec)
	}
}
