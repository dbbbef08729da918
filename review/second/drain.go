package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drainClients = 2
	drainPause   = 7 * time.Millisecond    // between two commands on a connection: 140 a second
	drainDepth   = 64                      // commands that a client has under way on its connection, at most
	drainSettle  = 4 * time.Second         // from the call: then no connection may be held with a request from the last 2 s
	drainSlack   = 500 * time.Millisecond  // more than the 50 ms that each time limit has on sockets
	drainRecent  = 2000 * time.Millisecond // a request that was sent within so long counts
)

// drainClient is a client that sends commands on one connection, whether or not the earlier ones are answered.
type drainClient struct {
	nc             net.Conn
	ended          atomic.Bool
	lastSent       atomic.Int64 // Unix time in nanoseconds
	sent, answered atomic.Int64
}

// read counts the answers until the connection ends.
func (c *drainClient) read(rec *Record, number int, slots chan struct{}) {
	in := bufio.NewReader(c.nc)
	for {
		kind, text, err := readReply(in)
		if err != nil {
			c.ended.Store(true)
			rec.Say("client %d: its connection ended (%v) after %d of %d answers", number, err, c.answered.Load(), c.sent.Load())
			c.nc.Close()
			return
		}
		c.answered.Add(1)
		rec.Log("client %d was answered %c%.30s", number, kind, text)
		<-slots
	}
}

// write sends a command every drainPause, until the connection or the case ends.
func (c *drainClient) write(rec *Record, number int, slots chan struct{}, stop chan struct{}) {
	for ; !c.ended.Load(); time.Sleep(drainPause) {
		select {
		case <-stop:
			c.nc.Close()
			return
		case slots <- struct{}{}:
		}
		id := newID()
		customer := number*100000 + int(c.sent.Add(1))
		rec.Log("client %d sends %s", number, id)
		c.lastSent.Store(time.Now().UnixNano())
		if _, err := c.nc.Write(encode("Q.ASK", fmt.Sprintf("%016x", customer), id,
			"c=guide-read,t=by,d=800,units=1,spread=3,first=0")); err != nil {
			return
		}
	}
}

// drainWithPipelining: an operator drains the ingress by hand while clients send commands on their connections without
// waiting for the answers to earlier ones, 140 a second. 4 s after the call it may hold no connection with a request from the last 2 s. Without the trouble each
// client has one command under way at a time.
func drainWithPipelining(rec *Record, root string, trouble bool) (bool, error) {
	rig, err := newRig(rec, root, 12)
	if err != nil {
		return false, err
	}
	defer rig.Stop()
	for _, b := range rig.Backends {
		b.Serve = func(a Arrival, nc net.Conn) {
			time.Sleep(time.Duration(min(20+40*rand.ExpFloat64(), 300) * float64(time.Millisecond))) // under load
			nc.Write([]byte(served("value-" + a.ID)))
		}
	}
	if err := rig.Start(); err != nil {
		return false, err
	}
	depth := drainDepth
	if !trouble {
		depth = 1
	}
	stop := make(chan struct{})
	var clients []*drainClient
	var running sync.WaitGroup
	for i := range drainClients {
		nc, err := net.Dial("tcp", rig.Listen)
		if err != nil {
			return false, err
		}
		c := &drainClient{nc: nc}
		clients = append(clients, c)
		slots := make(chan struct{}, depth)
		running.Go(func() { c.read(rec, i, slots) })
		go c.write(rec, i, slots, stop)
	}
	time.Sleep(2 * time.Second)
	status, err := rig.adminPut("/v1/ingress/drain")
	calledAt := time.Now()
	rec.Say("PUT /v1/ingress/drain: %d %v", status, err)
	if err != nil || status/100 != 2 {
		return false, errNotRun
	}
	time.Sleep(time.Until(calledAt.Add(drainSettle + drainSlack)))
	rec.Say("says yes to PING: %v", pong(rig.Listen))
	now := time.Now()
	held := 0
	for i, c := range clients {
		ago := now.Sub(time.Unix(0, c.lastSent.Load()))
		rec.Say("client %d: connection ended %v, last request sent %v ago, %d sent, %d answered",
			i, c.ended.Load(), ago.Round(time.Millisecond), c.sent.Load(), c.answered.Load())
		if !c.ended.Load() && ago < drainRecent {
			held++
		}
	}
	rec.Say("%d of %d connections are held with a request from the last 2 s, %v after the call",
		held, len(clients), now.Sub(calledAt).Round(time.Millisecond))
	close(stop)
	for _, c := range clients {
		c.nc.Close()
	}
	running.Wait()
	return held > 0, nil
}
