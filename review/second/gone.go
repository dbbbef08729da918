package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	burstClients  = 3
	burstCommands = 250
	burstBody     = 60 << 10               // bytes, under the 64 KiB of the page
	burstWrite    = 100 * time.Millisecond // for so long a client writes before it goes
	goneGrace     = 100 * time.Millisecond // an attempt that begins later after the close is a break
	socketSlack   = 50 * time.Millisecond  // each time limit is 50 ms longer on sockets
)

// goneBehindBurst: clients send hundreds of commands at once and go, while all nodes are three times slower than usual.
// No attempt may begin later than 0.1 s (and 50 ms) after the close of its client. Without the trouble the clients stay
// until all that they have sent is answered.
func goneBehindBurst(rec *Record, root string, trouble bool) (bool, error) {
	rig, err := newRig(rec, root, 12)
	if err != nil {
		return false, err
	}
	defer rig.Stop()
	for _, b := range rig.Backends {
		b.Serve = func(a Arrival, nc net.Conn) {
			// clip-publish takes 88 to 150 ms in the mean, here three times as long, spread as a lognormal would be
			time.Sleep(time.Duration(200+rand.IntN(600)) * time.Millisecond)
			nc.Write([]byte(served("value-" + a.ID)))
		}
	}
	if err := rig.Start(); err != nil {
		return false, err
	}
	body := strings.Repeat("x", burstBody)
	var mu sync.Mutex
	closedAt := map[string]time.Time{}
	answered := 0
	for i := range burstClients {
		nc, err := net.Dial("tcp", rig.Listen)
		if err != nil {
			return false, err
		}
		var ids []string
		var all []byte
		for j := range burstCommands {
			id := newID()
			ids = append(ids, id)
			rec.Log("client %d sends %s as command %d, unless it leaves before", i, id, j)
			all = append(all, encode("Q.DO", fmt.Sprintf("%016x", 1000*i+j+1), id,
				fmt.Sprintf("c=clip-publish,t=by,d=4000,k=%s,units=1,spread=3,first=0", id), body)...)
		}
		perCommand := len(all) / len(ids)
		whole := make(chan int, 1) // commands written to their last byte, once that is known
		done := make(chan struct{})
		go func() {
			defer close(done)
			in := bufio.NewReader(nc)
			until := len(ids)
			for k := 0; k < until; k++ {
				kind, text, err := readReply(in)
				if err != nil {
					return
				}
				rec.Log("client %d answered %s %c%.24s", i, ids[k], kind, text)
				mu.Lock()
				answered++
				mu.Unlock()
				select {
				case until = <-whole:
				default:
				}
			}
		}()
		began := time.Now()
		if trouble {
			nc.SetWriteDeadline(began.Add(burstWrite))
		} else {
			nc.SetWriteDeadline(began.Add(40 * time.Second))
		}
		n, _ := nc.Write(all)
		whole <- n / perCommand
		if !trouble {
			select {
			case <-done:
			case <-time.After(20 * time.Second):
			}
		}
		nc.Close()
		at := time.Now()
		rec.Say("client %d wrote %d of %d bytes, %d whole commands, in %v and closed",
			i, n, len(all), n/perCommand, at.Sub(began).Round(time.Millisecond))
		mu.Lock()
		for _, id := range ids {
			closedAt[id] = at
		}
		mu.Unlock()
		<-done
		time.Sleep(5 * time.Second) // nothing of this client is left
	}
	late, worst := 0, time.Duration(0)
	arrivals := rig.All()
	for _, a := range arrivals {
		after := a.At.Sub(closedAt[a.ID])
		if after > goneGrace+socketSlack {
			late++
			worst = max(worst, after)
			rec.LogAt(a.At, "LATE: %s came whole to %s %v after its client's close", a.ID, a.Backend, after)
		}
	}
	rec.Say("%d answers; %d attempts, %d of them began more than %v after the close of their client, the last %v after it",
		answered, len(arrivals), late, goneGrace+socketSlack, worst.Round(time.Millisecond))
	return late > 0, nil
}
