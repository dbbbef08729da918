// Command second is a case of the review: after a quiet time, backends that hold few connections send second answers
// some milliseconds late.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hitchspring/review/stand"
)

const (
	sites     = 2                      // alike, side by side and apart: whether a site meets the fault is up to chance
	ingresses = 3                      // of a site
	backends  = 4                      // of a site
	workers   = 14                     // client connections of an ingress
	quiet     = 55 * time.Second       // before the first second answer
	trouble   = 30 * time.Second       // with second answers
	way       = 700 * time.Microsecond // between ingress and backend: the site names 0.42 to 0.78 ms
	held      = 3                      // connections that a backend holds
	oneOf     = 20                     // answers has a second one
)

func main() { os.Exit(run()) }

func run() int {
	record := stand.NewRecord("record.txt")
	defer record.Close()
	defer stand.KillAll()
	var troubled atomic.Bool
	var seconds, suppressed atomic.Int64
	answers := func(b *stand.Backend, c *stand.BackendConn, command stand.Command) bool {
		time.Sleep(25*time.Millisecond + rand.N(20*time.Millisecond))
		answer := stand.Served(stand.Value(command.ID, 100))
		taken := c.Taken.Load()
		record.Line("%s ran and answers %s on %s", b.Name, command.ID, c.RemoteAddr())
		if troubled.Load() && rand.N(oneOf) == 0 {
			late := time.Millisecond + rand.N(time.Millisecond)
			go func() {
				stand.Pause(late)
				if c.Taken.Load() != taken { // something else waits on the connection: no second answer
					suppressed.Add(1)
					return
				}
				record.Line("%s sends a second answer to %s on %s, %v late", b.Name, command.ID, c.RemoteAddr(), late)
				seconds.Add(1)
				stand.Pause(way)
				c.Send(answer)
			}()
		}
		stand.Pause(way)
		return c.Send(answer) == nil
	}
	var running []*stand.Ingress
	for site := range sites {
		list := stand.List{Rev: 1, All: true}
		for n := range backends {
			b := &stand.Backend{
				Name: fmt.Sprintf("s-%d-%d", site, n), Zone: []string{"hall-a", "hall-b", "hall-c"}[n%3], Group: n / 2, Record: record,
				Answers: answers, Way: way, Cap: held,
			}
			b.Start()
			list.Targets = append(list.Targets, b.Target())
		}
		discovery, counter := stand.Discovery(list), stand.Counter()
		for n := range ingresses {
			settings := stand.Settings(ingresses)
			settings["me"] = n
			running = append(running, stand.Start(settings, list, discovery, counter, stand.Limits{MemoryMB: 64, Sockets: 608}))
		}
	}

	end := time.Now().Add(quiet + trouble)
	time.AfterFunc(quiet, func() { troubled.Store(stand.Trouble()) })
	var mu sync.Mutex
	counts := map[string]int{}
	wrong := 0
	var wg sync.WaitGroup
	for n := range sites * ingresses * workers {
		to := n % len(running)
		wg.Go(func() {
			var c *stand.Client
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(75*time.Millisecond)))
				if c != nil && !c.Quiet() {
					c.Conn.Close()
					c = nil
				}
				if c == nil {
					var err error
					if c, err = stand.Dial(running[to].Addr); err != nil {
						stand.Fatal("%v", err)
					}
				}
				r := stand.Request{Command: "Q.ASK", Tenant: n*100 + rand.N(20), ID: stand.NewID(), Class: "guide-read", Plan: "by", Millis: 1000, First: to % ingresses}
				record.Line("client %d at ingress %d sends %s %s for customer %d", n, to, r.IDText(), r.Class, r.Tenant)
				c.Conn.Write(r.Encode())
				answer := c.Read(3 * time.Second)
				kind := answer.Kind
				if kind == "served" && answer.Value != stand.Value(r.IDText(), 100) {
					kind = "served with another's value"
				}
				record.Line("client %d at ingress %d: %s %s %s", n, to, r.IDText(), kind, strings.TrimSpace(answer.Text+" "+head(answer.Value)))
				mu.Lock()
				counts[kind]++
				if kind == "served with another's value" {
					if wrong++; wrong <= 5 {
						record.Say("request %s was served with: %s", r.IDText(), head(answer.Value))
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
	record.Say("%d second answers (%d not sent: something else waited); clients: %v", seconds.Load(), suppressed.Load(), counts)
	for n, i := range running {
		if i.HasExited() {
			record.Say("BROKEN: ingress %d has ended", n)
			return stand.Broken
		}
	}
	switch {
	case wrong > 0:
		record.Say("BROKEN: %d requests were served with another request's value", wrong)
		return stand.Broken
	case counts["served"] < 1000 || stand.Trouble() && seconds.Load() == 0:
		record.Say("the case says nothing: too little was served or no second answer sent")
		return stand.NotRun
	}
	record.Say("held")
	return stand.Held
}

// head returns the words of a value that name its request.
func head(value string) string { return value[:min(len(value), len("value for 0123456789abcdef"))] }
