// Package tally is a stand-in for the platform's shared counter, written from its protocol page: lines of text over TCP,
// answered in their order, on numbers that live for a while. It has a fault script, and an observer that records calls.
package tally

import (
	"bufio"
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
	mostConns    = 32 // of one caller's address
	mostKeep     = 60 * time.Second
	mostName     = 64
	mostAmount   = 1e9
	mostLine     = 256
	mostRecorded = 1 << 20
	writeTime    = 5 * time.Second
)

// Record is one call as the counter saw it.
type Record struct {
	At      time.Duration // since the start
	Conn    int64
	Caller  string // the address without its port
	Name    string
	Amount  float64
	Applied bool
	Total   float64
	Fault   fault.Kind
}

type number struct {
	total   float64
	expires time.Time
}

// Server is one counter.
type Server struct {
	faults *fault.Script
	start  time.Time
	addr   string
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]string
	last    int64
	numbers map[string]*number
	record  []Record
}

// Start starts a counter on listen, or on an ephemeral loopback port if that is empty.
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
		faults: fault.New(seed), start: time.Now(), addr: ln.Addr().String(), ctx: ctx, stop: stop, ln: ln,
		conns: map[net.Conn]string{}, numbers: map[string]*number{},
	}
	s.wg.Go(func() { s.accept(ln) })
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.addr }

// Since is the time on its own clock, that of its records.
func (s *Server) Since() time.Duration { return time.Since(s.start) }

// Fault puts a rule in force from now on.
func (s *Server) Fault(r fault.Rule) { s.faults.Add(s.Since(), r) }

// Records returns what came so far.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.record)
}

// Total is a number's, or 0.
func (s *Server) Total(name string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.numbers[name]; n != nil && time.Now().Before(n.expires) {
		return n.total
	}
	return 0
}

// Stop ends all connections and refuses new ones until Listen; what it counted stays.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		s.ln.Close()
		s.ln = nil
	}
	for nc := range s.conns {
		if t, ok := nc.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		nc.Close()
	}
}

// Listen takes connections again.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil || s.ctx.Err() != nil {
		return nil
	}
	var ln net.Listener
	var err error
	for range 100 {
		if ln, err = net.Listen("tcp", s.addr); err == nil {
			s.ln = ln
			s.wg.Go(func() { s.accept(ln) })
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Errorf("tally stand-in: %w", err)
}

// Restart forgets everything and ends all connections; it takes new ones after pause.
func (s *Server) Restart(pause time.Duration) {
	s.Stop()
	s.mu.Lock()
	clear(s.numbers)
	s.mu.Unlock()
	s.wg.Go(func() {
		if s.sleep(pause) {
			s.Listen()
		}
	})
}

// Close ends it.
func (s *Server) Close() {
	s.stop()
	s.Stop()
	s.wg.Wait()
}

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

func (s *Server) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		host, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
		s.mu.Lock()
		held := 0
		for _, h := range s.conns {
			if h == host {
				held++
			}
		}
		if s.ctx.Err() != nil || held >= mostConns*8 { // all instances share one address on loopback
			s.mu.Unlock()
			nc.Close()
			continue
		}
		s.conns[nc] = host
		s.last++
		id := s.last
		s.wg.Go(func() {
			s.serve(nc, host, id)
			nc.Close()
			s.mu.Lock()
			delete(s.conns, nc)
			s.mu.Unlock()
		})
		s.mu.Unlock()
	}
}

func (s *Server) serve(nc net.Conn, caller string, id int64) {
	in := bufio.NewReaderSize(nc, 4<<10)
	var out []byte
	flush := func() bool {
		nc.SetWriteDeadline(time.Now().Add(writeTime))
		_, err := nc.Write(out)
		out = out[:0]
		return err == nil
	}
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "ping" {
			out = append(out, "pong\r\n"...)
		} else if b, ok := s.call(nc, text, caller, id, &out, flush); ok {
			out = append(out, b...)
		} else {
			return
		}
		if in.Buffered() == 0 && len(out) > 0 && !flush() {
			return
		}
	}
}

// call answers one call; ok is false where the connection ends.
func (s *Server) call(nc net.Conn, text, caller string, id int64, out *[]byte, flush func() bool) (answer []byte, ok bool) {
	r, left, hit := s.faults.Next(s.Since(), "tally", caller)
	rec := Record{At: s.Since(), Conn: id, Caller: caller}
	if hit {
		rec.Fault = r.Kind
	}
	run := func() []byte { return s.apply(text, &rec) }
	defer func() { s.note(rec) }()
	switch r.Kind {
	case fault.Delay, fault.Stall:
		wait := r.By
		if r.Kind == fault.Stall {
			wait = left
		}
		if !flush() || !s.sleep(wait) {
			return nil, false
		}
		return run(), true
	case fault.Hold:
		b := run()
		if !flush() || !s.sleep(r.By) {
			return nil, false
		}
		return b, true
	case fault.Ignore:
		return nil, true
	case fault.Swallow:
		run()
		return nil, true
	case fault.DropBefore:
		flush()
		return nil, false
	case fault.DropAfter:
		run()
		flush()
		return nil, false
	case fault.Repeat:
		b := run()
		return append(b, b...), true
	case fault.Cut:
		b := run()
		*out = append(*out, b[:len(b)/2]...)
		flush()
		return nil, false
	case fault.Fail:
		return []byte(r.Text + "\r\n"), true
	}
	return run(), true
}

func (s *Server) apply(text string, rec *Record) []byte {
	f := strings.Fields(text)
	if len(f) != 4 || f[0] != "tally" || len(f[1]) > mostName {
		return []byte("error\r\n")
	}
	amount, err1 := strconv.ParseFloat(f[2], 64)
	ms, err2 := strconv.ParseInt(f[3], 10, 64)
	if err1 != nil || err2 != nil || ms < 1 || !(math.Abs(amount) <= mostAmount) {
		return []byte("error\r\n")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	n := s.numbers[f[1]]
	if n == nil || !now.Before(n.expires) {
		n = &number{expires: now.Add(min(time.Duration(ms)*time.Millisecond, mostKeep))}
		s.numbers[f[1]] = n
	}
	n.total += amount
	rec.Name, rec.Amount, rec.Applied, rec.Total = f[1], amount, true, n.total
	return append(strconv.AppendFloat([]byte("ok "), n.total, 'f', -1, 64), "\r\n"...)
}

func (s *Server) note(r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.record) < mostRecorded {
		s.record = append(s.record, r)
	}
}
