// Command turnedaway plays bad clients that send commands in batches, and the same again as soon as they are turned
// away. The ingress must stay within its memory limit.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"hitchspring/review/stand"
)

const (
	memoryMB   = 64 // of the ingress
	badClients = 16
	batch      = 60   // commands that a bad client sends at once
	wait       = 5000 // ms that a client of clip-publish waits
	length     = 20 * time.Second
)

// counts of what the bad clients sent and were answered.
var sent, served, refused, failed, lost atomic.Int64

func main() {
	record := stand.NewRecord("record.txt")
	list := stand.List{Rev: 1, All: true}
	for i := range 4 {
		b := stand.StartBackend(fmt.Sprintf("s-%d", i), "hall-a", i/2, record, answer)
		list.Targets = append(list.Targets, b.Target())
	}
	ingress := stand.Start(stand.Settings(1), list, stand.Discovery(list), stand.Counter(),
		stand.Limits{MemoryMB: memoryMB, Sockets: 608})
	defer stand.KillAll()
	for i := range badClients {
		go badClient(record, ingress, i)
	}
	go usualClient(record, ingress)
	broken := watch(record, ingress)
	record.Close()
	stand.KillAll()
	if broken {
		os.Exit(stand.Broken)
	}
}

func answer(_ *stand.Backend, c *stand.BackendConn, command stand.Command) bool {
	stand.Pause(30 * time.Millisecond)
	return c.Send(stand.Served(stand.Value(command.ID, 200))) == nil
}

// watch does what the platform does: it kills an ingress that is over its memory limit.
func watch(record *stand.Record, ingress *stand.Ingress) (broken bool) {
	began, nextLine, highest := time.Now(), time.Duration(0), 0
	for passed := time.Duration(0); passed < length; passed = time.Since(began) {
		used := ingress.AnonymousKB()
		highest = max(highest, used)
		if passed >= nextLine || used > memoryMB<<10 {
			nextLine += 500 * time.Millisecond
			record.Line("the ingress holds %d kB; bad clients: %d sent, %d served, %d refused, %d failed, %d lost",
				used, sent.Load(), served.Load(), refused.Load(), failed.Load(), lost.Load())
		}
		if ingress.HasExited() {
			record.Say("the ingress has ended by itself: %v", ingress.State)
			return true
		}
		if used > memoryMB<<10 {
			ingress.Signal(syscall.SIGKILL)
			<-ingress.Exited
			record.Say("after %.2f s the ingress held %d kB and was killed: its limit is %d kB", passed.Seconds(), used, memoryMB<<10)
			time.Sleep(100 * time.Millisecond) // for the lines of the clients
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	record.Say("the ingress held at most %d kB of %d kB in %v; bad clients sent %d commands, %d were refused",
		highest, memoryMB<<10, length, sent.Load(), refused.Load())
	return false
}

// badClient sends a batch of commands at once, reads all answers, and sends the same again as soon as it has been
// turned away. Without the disruption it keeps away for as long as it was told.
func badClient(record *stand.Record, ingress *stand.Ingress, number int) {
	c, err := stand.Dial(ingress.Addr)
	if err != nil {
		stand.Fatal("%v", err)
	}
	defer c.Conn.Close()
	for round := 0; ; round++ {
		var text []byte
		for range batch {
			r := stand.Request{
				Command: "Q.DO", Tenant: 1 + number, ID: stand.NewID(), Class: "clip-publish", Plan: "grend",
				Key: fmt.Sprintf("%016x", stand.NewID()), Millis: wait,
			}
			text = append(text, r.Encode()...)
		}
		if round == 0 {
			record.Line("bad client %d sends %d commands at once, the last of them %q", number, batch, text[len(text)*(batch-1)/batch:])
		}
		if _, err := c.Conn.Write(text); err != nil {
			return
		}
		sent.Add(batch)
		keepAway := 0
		for range batch {
			a := c.Read(10 * time.Second)
			switch a.Kind {
			case "served":
				served.Add(1)
			case "refused":
				refused.Add(1)
				if ms, err := strconv.Atoi(strings.TrimPrefix(a.Text, "-BUSY ")); err == nil {
					keepAway = max(keepAway, ms)
				}
			case "failed":
				failed.Add(1)
			default:
				lost.Add(1)
				return
			}
		}
		if !stand.Trouble() {
			time.Sleep(time.Duration(keepAway) * time.Millisecond)
		}
	}
}

// usualClient asks ten times a second.
func usualClient(record *stand.Record, ingress *stand.Ingress) {
	for i := 0; ; i++ {
		time.Sleep(100 * time.Millisecond)
		c, err := stand.Dial(ingress.Addr)
		if err != nil {
			record.Line("usual client: %v", err)
			return
		}
		r := stand.Request{
			Command: "Q.ASK", Tenant: 1000 + i, ID: stand.NewID(), Class: "guide-read", Plan: "by", Millis: 1000,
		}
		c.Conn.Write(r.Encode())
		a := c.Read(3 * time.Second)
		c.Conn.Close()
		record.Line("usual client: %s %s %s", r.IDText(), a.Kind, a.Text)
		if a.Kind == "lost" {
			return
		}
	}
}
