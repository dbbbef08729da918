// Command names plays case 2: bad clients send commands whose list of names and values is long. The ingress must stay
// within its memory limit.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hitchspring/review/stand"
)

const (
	memoryMB   = 64 // of the ingress
	badClients = 4
	commands   = 10 // that a bad client sends, one after the other
	listBytes  = 4<<20 - 1<<10
	length     = 20 * time.Second
)

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
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range badClients {
		wg.Go(func() { badClient(record, ingress, i) })
	}
	go func() {
		wg.Wait()
		close(done)
	}()
	go usualClient(record, ingress)
	broken := watch(record, ingress, done)
	record.Close()
	stand.KillAll()
	if broken {
		os.Exit(stand.Broken)
	}
}

func answer(b *stand.Backend, c *stand.BackendConn, command stand.Command) bool {
	b.Record.Line("%s runs %s with a list of %d bytes", b.Name, command.ID, len(command.Fields))
	stand.Pause(30 * time.Millisecond)
	return c.Send(stand.Served(stand.Value(command.ID, 200))) == nil
}

// watch does what the platform does: it kills an ingress that is over its memory limit.
func watch(record *stand.Record, ingress *stand.Ingress, done <-chan struct{}) (broken bool) {
	began, highest := time.Now(), 0
	for time.Since(began) < length {
		used := ingress.AnonymousKB()
		if used > highest+4<<10 {
			record.Line("the ingress holds %d kB", used)
		}
		highest = max(highest, used)
		if ingress.HasExited() {
			record.Say("the ingress has ended by itself: %v", ingress.State)
			return true
		}
		if used > memoryMB<<10 {
			ingress.Signal(syscall.SIGKILL)
			<-ingress.Exited
			record.Say("after %.2f s the ingress held %d kB and was killed: its limit is %d kB",
				time.Since(began).Seconds(), used, memoryMB<<10)
			time.Sleep(100 * time.Millisecond) // for the lines of the clients
			return true
		}
		select {
		case <-done:
			record.Say("the ingress held at most %d kB of %d kB", highest, memoryMB<<10)
			return false
		case <-time.After(time.Millisecond):
		}
	}
	record.Say("the ingress held at most %d kB of %d kB in %v", highest, memoryMB<<10, length)
	return false
}

// badClient sends commands with a long list of names, one after the other, each on a connection of its own. Without the
// disruption the list has the names of the protocol alone.
func badClient(record *stand.Record, ingress *stand.Ingress, number int) {
	var names strings.Builder
	for i := 0; stand.Trouble() && names.Len() < listBytes; i++ {
		names.WriteString("x" + strconv.FormatInt(int64(i), 36) + "=,")
	}
	for range commands {
		c, err := stand.Dial(ingress.Addr)
		if err != nil {
			record.Line("bad client %d: %v", number, err)
			return
		}
		id := fmt.Sprintf("%016x", stand.NewID())
		fields := names.String() + "c=guide-read,t=by,d=1000,units=1,spread=1,first=0"
		record.Line("bad client %d sends %s with a list of %d bytes: %.60s...", number, id, len(fields), fields)
		c.Conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
		c.Conn.Write(stand.EncodeCommand("Q.ASK", fmt.Sprintf("%016x", 1+number), id, fields))
		a := c.Read(5 * time.Second)
		record.Line("bad client %d: %s %s %s", number, id, a.Kind, a.Text)
		c.Conn.Close()
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
