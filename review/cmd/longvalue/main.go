// Command longvalue plays case longvalue: a backend writes a long value slowly, in pieces, and the client reads it at
// full speed.
package main

import (
	"fmt"
	"os"
	"time"

	"hitchspring/review/stand"
)

const (
	valueBytes = 256 << 10
	pieceBytes = 16 << 10
	pause      = 400 * time.Millisecond // between two pieces
	wait       = 1000                   // ms that a client waits, for the first bytes of a long value
	requests   = 6
)

func main() {
	record := stand.NewRecord("record.txt")
	answer := func(b *stand.Backend, c *stand.BackendConn, command stand.Command) bool {
		record.Line("%s runs %s %s", b.Name, command.ID, command.Fields)
		stand.Pause(30 * time.Millisecond)
		value := stand.Served(stand.Value(command.ID, valueBytes))
		if !stand.Trouble() {
			return c.Send(value) == nil
		}
		sent := 0
		for len(value) > 0 {
			n := min(pieceBytes, len(value))
			if err := c.Send(value[:n]); err != nil {
				record.Line("%s can write no more of %s after %d bytes: %v", b.Name, command.ID, sent, err)
				return false
			}
			value, sent = value[n:], sent+n
			if len(value) > 0 {
				time.Sleep(pause)
			}
		}
		record.Line("%s has written all of %s", b.Name, command.ID)
		return true
	}
	list := stand.List{Rev: 1, All: true}
	for i := range 3 {
		b := stand.StartBackend(fmt.Sprintf("s-%d", i), "hall-a", i, record, answer)
		list.Targets = append(list.Targets, b.Target())
	}
	ingress := stand.Start(stand.Settings(1), list, stand.Discovery(list), stand.Counter(), stand.Limits{MemoryMB: 64, Sockets: 608})
	defer stand.KillAll()
	results := make(chan bool)
	for i := range requests {
		go func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			c, err := stand.Dial(ingress.Addr)
			if err != nil {
				stand.Fatal("%v", err)
			}
			defer c.Conn.Close()
			r := stand.Request{Command: "Q.ASK", Tenant: 1 + i, ID: stand.NewID(), Class: "guide-read", Plan: "by", Millis: wait}
			record.Line("client %d sends %s", i, r.IDText())
			began := time.Now()
			c.Conn.Write(r.Encode())
			a := c.Read(60 * time.Second)
			record.Line("client %d gets for %s after %.3f s: %s, %d bytes of value, %s", i, r.IDText(), time.Since(began).Seconds(), a.Kind, len(a.Value), a.Text)
			if a.Kind == "served" && a.Value != stand.Value(r.IDText(), valueBytes) {
				record.Line("client %d: not the value of its request", i)
				a.Kind = "foreign"
			}
			results <- a.Kind != "cut" && a.Kind != "lost" && a.Kind != "foreign"
		}()
	}
	broken := 0
	for range requests {
		if !<-results {
			broken++
		}
	}
	record.Say("%d of %d requests were cut off while the backend still gave", broken, requests)
	record.Close()
	stand.KillAll()
	if broken > 0 {
		os.Exit(stand.Broken)
	}
}
