package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	floodTime    = 30 * time.Second
	floodClients = 300                    // bad clients
	floodCores   = "3"                    // that they may use
	floodBurst   = 300                    // commands that one of them sends at once
	usualClients = 10                     // the usual ones
	usualPause   = 70 * time.Millisecond  // between two requests on a connection: 140 a second in all
	usualDepth   = 60                     // requests without an answer on a connection, at most
	usualBody    = 30000                  // bytes
	lateGrace    = 500 * time.Millisecond // so long after its time an answer only earns nothing; later, it is lost
	lateSlack    = 100 * time.Millisecond // more than the 50 ms that each time limit has on sockets
	maxOwnLag    = 250 * time.Millisecond // the case can't run if its own program is held up for so long
)

// answersBesideFlood: bad clients send at full speed what the pages name. Each request of the usual clients gets its
// answer within half a second after its time. Without the trouble there are no bad clients.
func answersBesideFlood(rec *Record, root string, trouble bool) (bool, error) {
	rig, err := newRig(rec, root, 12)
	if err != nil {
		return false, err
	}
	defer rig.Stop()
	if err := rig.Start(); err != nil {
		return false, err
	}
	end := time.Now().Add(floodTime)
	var lag atomic.Int64
	go watchLag(end, &lag)
	if trouble {
		self, err := os.Executable()
		if err != nil {
			return false, err
		}
		cmd := exec.Command(self, "flooders", rig.Listen)
		cmd.Env = append(os.Environ(), "GOMAXPROCS="+floodCores)
		var sent bytes.Buffer
		cmd.Stdout = &sent
		p, err := startProcess(cmd)
		if err != nil {
			return false, err
		}
		defer func() { // it ends by itself
			select {
			case <-p.ended:
			case <-time.After(10 * time.Second):
				p.Kill()
			}
			rec.Say("bad clients: %s", strings.TrimSpace(sent.String()))
		}()
	}
	var f floodResult
	f.counts = map[string]int{}
	var running sync.WaitGroup
	for i := range usualClients {
		running.Go(func() {
			for time.Now().Before(end) {
				f.useConnection(rec, rig, i, end)
			}
		})
	}
	running.Wait()
	rec.Say("usual clients: %v; %d late, the latest answer came %v after its request's time; own lag %v",
		f.counts, f.late, f.worst.Round(time.Millisecond), time.Duration(lag.Load()).Round(time.Millisecond))
	if time.Duration(lag.Load()) > maxOwnLag {
		return false, fmt.Errorf("%w: this program was held up", errNotRun)
	}
	return f.late > 0, nil
}

// watchLag measures for how long this program was held up.
func watchLag(end time.Time, lag *atomic.Int64) {
	for last := time.Now(); last.Before(end); {
		time.Sleep(5 * time.Millisecond)
		now := time.Now()
		lag.Store(max(lag.Load(), int64(now.Sub(last)-5*time.Millisecond)))
		last = now
	}
}

// floodResult is what the usual clients saw.
type floodResult struct {
	mu     sync.Mutex
	counts map[string]int // answers by their first bytes, and ends of connections
	late   int
	worst  time.Duration
}

func (f *floodResult) count(what string) {
	f.mu.Lock()
	f.counts[what]++
	f.mu.Unlock()
}

// usualRequest is a request of a usual client that has no answer yet.
type usualRequest struct {
	id   string
	sent time.Time
	d    time.Duration
}

// useConnection sends requests on a new connection, one each usualPause, until it ends. The time for which an answer has
// to wait for those before it doesn't count.
func (f *floodResult) useConnection(rec *Record, rig *Rig, number int, end time.Time) {
	nc, err := net.DialTimeout("tcp", rig.Listen, 3*time.Second)
	if err != nil {
		f.count("not connected")
		time.Sleep(20 * time.Millisecond)
		return
	}
	open := make(chan usualRequest, usualDepth)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer nc.Close()
		in := bufio.NewReader(nc)
		previous := time.Time{}
		for r := range open {
			nc.SetReadDeadline(time.Now().Add(15 * time.Second))
			kind, text, err := readReply(in)
			now := time.Now()
			from := r.sent
			if previous.After(from) {
				from = previous
			}
			previous = now
			over := now.Sub(from) - r.d
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded): // the connection is open, and the request has no answer
				rec.Log("client %d: no answer to %s, sent %v ago with d=%v", number, r.id, now.Sub(r.sent), r.d)
				f.record("no answer", over)
				return
			case err != nil: // it ended, maybe between requests: not judged
				rec.Log("client %d: its connection ended before the answer to %s: %v", number, r.id, err)
				f.count("connection ended")
				return
			}
			mark := ""
			if over > lateGrace+lateSlack {
				mark = "LATE "
			}
			rec.LogAt(now, "client %d answered %s with d=%v: %c%.20s after %v %s", number, r.id, r.d, kind, text, now.Sub(r.sent), mark)
			f.record(fmt.Sprintf("%c%.5s", kind, text), over)
		}
	}()
	body := strings.Repeat("b", usualBody)
	for time.Now().Before(end) {
		r := usualRequest{id: newID(), d: time.Duration(500+rand.IntN(500)) * time.Millisecond}
		rec.Log("client %d sends %s", number, r.id)
		_, err := nc.Write(encode("Q.ASK", fmt.Sprintf("%016x", rand.IntN(1<<30)), r.id,
			fmt.Sprintf("c=guide-read,t=by,d=%d,units=1,spread=3,first=0", r.d.Milliseconds()), body))
		r.sent = time.Now()
		if err != nil {
			break
		}
		select {
		case open <- r:
		case <-ended:
		}
		time.Sleep(usualPause)
	}
	close(open)
	<-ended
}

// record counts an answer that came so long after the request's time.
func (f *floodResult) record(what string, over time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[what]++
	f.worst = max(f.worst, over)
	if over > lateGrace+lateSlack {
		f.late++
	}
}

// flooders plays the bad clients; it runs in a process of its own.
func flooders(addr string) {
	end := time.Now().Add(floodTime)
	var running sync.WaitGroup
	for i := range floodClients {
		running.Go(func() {
			for time.Now().Before(end) {
				floodOnce(addr, i%4)
			}
		})
	}
	running.Wait()
	for kind, what := range []string{"lines that can't be read", "bursts of requests", "bursts of PING", "commands of no class"} {
		fmt.Printf("%s: %d connections, %d bytes sent; ", what, floodSent[kind].connections.Load(), floodSent[kind].bytes.Load())
	}
	fmt.Println()
}

// floodSent counts what the bad clients of each kind have sent.
var floodSent [4]struct{ connections, bytes atomic.Int64 }

// countingConn counts the bytes that are written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Write implements io.Writer.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// floodOnce connects, sends what a bad client of a kind sends, reads what it is sent, and leaves.
func floodOnce(addr string, kind int) {
	conn, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		time.Sleep(5 * time.Millisecond)
		return
	}
	floodSent[kind].connections.Add(1)
	nc := countingConn{conn, &floodSent[kind].bytes}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(4 * time.Second))
	go io.Copy(io.Discard, nc)
	switch kind {
	case 0: // what can't be read
		io.WriteString(nc, strings.Repeat("GARBAGE\r\n", 10000))
		return
	case 1: // hundreds of commands at once
		for range floodBurst {
			if _, err := nc.Write(encode("Q.ASK", fmt.Sprintf("%016x", rand.IntN(1<<30)), newID(),
				"c=guide-read,t=by,d=600,units=1,spread=3,first=0", "x")); err != nil {
				return
			}
		}
	case 2: // hundreds of commands at once
		io.WriteString(nc, strings.Repeat(string(encode("PING")), 3*floodBurst))
		return
	case 3: // a class that doesn't exist, a customer and a deadline that are no numbers
		for range floodBurst {
			if _, err := nc.Write(encode("Q.ASK", "zz", newID(), "c=nope,t=by,d=x,units=1,spread=3,first=0", "x")); err != nil {
				return
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
}
