// Command gone plays a client that sends many commands at once and closes its connection. Nothing more may be sent to a
// backend for it.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"hitchspring/review/stand"
)

const (
	commands  = 200
	bodyBytes = 8000
	readWork  = 80 * time.Millisecond  // 45 ms on a machine at 0.56 of the speed
	clipWork  = 290 * time.Millisecond // 150 ms on a machine at 0.51 of the speed
	// An attempt that begins more than 0.1 s after the close breaks the rule; each time limit is 50 ms longer on sockets.
	limit = 150 * time.Millisecond
)

func main() {
	record := stand.NewRecord("record.txt")
	var mu sync.Mutex
	began := map[string][]time.Time{}
	answer := func(b *stand.Backend, c *stand.BackendConn, command stand.Command) bool {
		mu.Lock()
		began[command.ID] = append(began[command.ID], time.Now())
		mu.Unlock()
		record.Line("%s runs %s %s", b.Name, command.ID, command.Fields)
		work := readWork
		if command.Field("c") == "clip-publish" {
			work = clipWork
		}
		stand.Pause(work)
		return c.Send(stand.Served(stand.Value(command.ID, 200))) == nil
	}
	list := stand.List{Rev: 1, All: true}
	for i := range 4 {
		b := stand.StartBackend(fmt.Sprintf("s-%d", i), "hall-a", i/2, record, answer)
		list.Targets = append(list.Targets, b.Target())
	}
	ingress := stand.Start(stand.Settings(1), list, stand.Discovery(list), stand.Counter(),
		stand.Limits{MemoryMB: 64, Sockets: 608})
	defer stand.KillAll()
	var text []byte
	for i := range commands {
		r := stand.Request{
			Command: "Q.ASK", Tenant: 1 + i, ID: stand.NewID(), Class: "guide-read", Plan: "by", Millis: 1000,
			Body: strings.Repeat("b", bodyBytes),
		}
		if i == 0 {
			r.Command, r.Class, r.Key, r.Millis = "Q.DO", "clip-publish", fmt.Sprintf("%016x", r.ID), 5000
		}
		record.Line("command %d: %s %s", i, r.IDText(), r.Class)
		text = append(text, r.Encode()...)
	}
	c, err := stand.Dial(ingress.Addr)
	if err != nil {
		stand.Fatal("%v", err)
	}
	c.Conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Conn.Write(text); err != nil {
		stand.Fatal("the client could not send: %v", err)
	}
	record.Line("the client has sent %d commands, %d bytes", commands, len(text))
	if stand.Trouble() {
		c.Conn.Close()
		record.Line("the client closes its connection")
	}
	closed := time.Now()
	for range commands {
		if !stand.Trouble() {
			a := c.Read(5 * time.Second)
			record.Line("the client reads: %s %s", a.Kind, a.Text)
		}
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	late, attempts := 0, 0
	for _, times := range began {
		for _, at := range times {
			attempts++
			if stand.Trouble() && at.Sub(closed) > limit {
				late++
			}
		}
	}
	mu.Unlock()
	record.Say("%d attempts, %d of them began more than %v after the client had closed its connection", attempts, late, limit)
	record.Close()
	stand.KillAll()
	if late > 0 {
		os.Exit(stand.Broken)
	}
}
