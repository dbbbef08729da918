// Command bodies is a case of the review: clients send long values, and the platform ends an ingress that goes over its
// memory limit.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hitchspring/review/stand"
)

const (
	memoryMB  = 64 // the pages name 32 to 192 MB
	backends  = 12
	clients   = 10
	pause     = 300 * time.Millisecond // mean pause of a client between an answer and its next request
	duration  = 30 * time.Second
	shortest  = 1 << 20 // of a long value; "values of up to 4 MiB occur"
	longest   = 4<<20 - 1
	piece     = 64 << 10
	overLimit = 5 // samples in a row, 10 ms apart, after which the platform acts
)

func main() { os.Exit(run()) }

func run() int {
	record := stand.NewRecord("record.txt")
	defer record.Close()
	defer stand.KillAll()
	answers := func(b *stand.Backend, c *stand.BackendConn, command stand.Command) bool {
		time.Sleep(60*time.Millisecond + rand.N(60*time.Millisecond))
		record.Line("%s ran %s with a body of %d bytes", b.Name, command.ID, len(command.Body))
		return c.Send(stand.Served(stand.Value(command.ID, 100))) == nil
	}
	list := stand.List{Rev: 1, All: true}
	for n := range backends {
		list.Targets = append(list.Targets, stand.StartBackend(fmt.Sprintf("s-%d", n), []string{"hall-a", "hall-b", "hall-c"}[n%3], n/4, record, answers).Target())
	}
	ingress := stand.Start(stand.Settings(1), list, stand.Discovery(list), stand.Counter(), stand.Limits{MemoryMB: memoryMB, Sockets: 1024})

	var mu sync.Mutex
	counts := map[string]int{}
	var open, most atomic.Int64 // bytes of the requests without an answer
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			var c *stand.Client
			for time.Now().Before(end) && !ingress.HasExited() {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(pause)))
				if c != nil && !c.Quiet() {
					c.Conn.Close()
					c = nil
				}
				if c == nil {
					var err error
					if c, err = stand.Dial(ingress.Addr); err != nil {
						record.Line("client %d: %v", n, err)
						continue
					}
				}
				size := 200
				if stand.Trouble() {
					size = shortest + rand.N(longest-shortest)
				}
				r := stand.Request{
					Command: "Q.DO", Tenant: n*100 + rand.N(50), ID: stand.NewID(), Class: "clip-publish", Plan: "storby",
					Millis: 5000, Key: fmt.Sprintf("%016x", stand.NewID()), Body: strings.Repeat("x", size),
				}
				b := r.Encode()
				record.Line("client %d sends %s with a body of %d bytes", n, r.IDText(), size)
				for sum := open.Add(int64(size)); ; {
					if old := most.Load(); old >= sum || most.CompareAndSwap(old, sum) {
						break
					}
				}
				go func(c *stand.Client) {
					for len(b) > 0 { // written in pieces, over 16 to 64 ms
						k := min(len(b), piece)
						if _, err := c.Conn.Write(b[:k]); err != nil {
							return
						}
						b = b[k:]
						time.Sleep(time.Millisecond)
					}
				}(c)
				answer := c.Read(12 * time.Second)
				open.Add(-int64(size))
				record.Line("client %d: %s with a body of %d bytes: %s %s", n, r.IDText(), size, answer.Kind, answer.Text)
				mu.Lock()
				counts[answer.Kind]++
				mu.Unlock()
				if answer.Kind == "lost" || answer.Kind == "cut" {
					c.Conn.Close()
					c = nil
				}
			}
		})
	}
	peak, over, killed := 0, 0, false
	for sample := 0; time.Now().Before(end) && !ingress.HasExited(); sample++ {
		used := ingress.AnonymousKB()
		peak = max(peak, used)
		if sample%50 == 0 {
			record.Line("the ingress has %d KB of anonymous memory", used)
		}
		if over++; used <= memoryMB<<10 {
			over = 0
		}
		if over == overLimit {
			mu.Lock()
			record.Say("the ingress has %d KB of anonymous memory with a limit of %d KB, and is killed; answers so far: %v; at most %d KB of values were open at once",
				used, memoryMB<<10, counts, most.Load()>>10)
			mu.Unlock()
			killed = true
			ingress.Signal(syscall.SIGKILL)
		}
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	record.Say("at most %d KB of anonymous memory with a limit of %d KB; answers: %v", peak, memoryMB<<10, counts)
	switch {
	case killed:
		record.Say("BROKEN: the ingress went over its memory limit and was killed; %d requests have no answer", counts["lost"])
		return stand.Broken
	case ingress.HasExited():
		record.Say("BROKEN: the ingress has ended by itself: %v", ingress.State)
		return stand.Broken
	case counts["served"] < 50:
		record.Say("the case says nothing: too little was served")
		return stand.NotRun
	}
	record.Say("held")
	return stand.Held
}
