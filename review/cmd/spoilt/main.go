// Command spoilt is a case of the review: long answers, some of which give a length that is less than what follows.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"hitchspring/review/stand"
)

const (
	requests = 300
	clients  = 6
	size     = 100_000 // of a value: "Values of up to 4 MiB occur"
	missing  = 20_000  // by which the length of a spoilt answer is too low
)

func main() { os.Exit(run()) }

func run() int {
	record := stand.NewRecord("record.txt")
	defer record.Close()
	defer stand.KillAll()
	var mu sync.Mutex
	sent, spoilt := 0, map[string]int{}
	answers := func(b *stand.Backend, c *stand.BackendConn, command stand.Command) bool {
		time.Sleep(30 * time.Millisecond)
		value := stand.Value(command.ID, size)
		mu.Lock()
		sent++
		spoil := stand.Trouble() && sent%20 == 0
		if spoil {
			spoilt[command.ID]++
		}
		mu.Unlock()
		length := len(value)
		if spoil {
			length -= missing
		}
		record.Line("%s ran %s, answers with length %d for a value of %d bytes", b.Name, command.ID, length, len(value))
		return c.Send(fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", length, value)) == nil
	}
	list := stand.List{Rev: 1, All: true}
	for n, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		list.Targets = append(list.Targets, stand.StartBackend(fmt.Sprintf("s-%d", n), zone, n, record, answers).Target())
	}
	ingress := stand.Start(stand.Settings(1), list, stand.Discovery(list), stand.Counter(), stand.Limits{MemoryMB: 192, Sockets: 1024})

	counts := map[string]int{}
	wrong := 0
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			var c *stand.Client
			for k := range requests / clients {
				time.Sleep(100 * time.Millisecond)
				if c != nil && !c.Quiet() { // an ingress may close a connection between requests
					c.Conn.Close()
					c = nil
				}
				if c == nil {
					var err error
					if c, err = stand.Dial(ingress.Addr); err != nil {
						stand.Fatal("%v", err)
					}
				}
				r := stand.Request{Command: "Q.ASK", Tenant: n*100 + k%10, ID: stand.NewID(), Class: "guide-read", Plan: "by", Millis: 1000}
				record.Line("client %d sends %s %s", n, r.IDText(), r.Class)
				c.Conn.Write(r.Encode())
				answer := c.Read(3 * time.Second)
				kind := answer.Kind
				if kind == "served" && answer.Value != stand.Value(r.IDText(), size) {
					kind = "served with a value that no backend made"
				}
				record.Line("client %d: %s %s, %d bytes, %s", n, r.IDText(), kind, len(answer.Value), answer.Text)
				mu.Lock()
				counts[kind]++
				if kind == "served with a value that no backend made" {
					if wrong++; wrong <= 3 {
						record.Say("%s was served as whole with %d bytes; its backends made a value of %d", r.IDText(), len(answer.Value), size)
					}
				}
				mu.Unlock()
				if answer.Kind == "lost" || answer.Kind == "cut" {
					c.Conn.Close()
					c = nil
				}
			}
		})
	}
	wg.Wait()
	record.Say("%d attempts at backends, %d requests met a spoilt answer; clients: %v", sent, len(spoilt), counts)
	if ingress.HasExited() {
		record.Say("the ingress has ended")
		return stand.Broken
	}
	switch {
	case wrong > 0:
		record.Say("BROKEN: %d requests were served with what no backend made for them", wrong)
		return stand.Broken
	case counts["served"] < requests/2 || stand.Trouble() && len(spoilt) == 0:
		record.Say("the case says nothing: too little was served or spoilt")
		return stand.NotRun
	}
	record.Say("held")
	return stand.Held
}
