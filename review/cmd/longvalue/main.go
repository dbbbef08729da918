// Command longvalue plays a backend that writes a long value slowly, in pieces. The client reads it at full
// speed. The settings let no request have two attempts out.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"hitchspring/review/stand"
)

const (
	valueBytes = 96 << 10 // of a long value; values beyond 64 KiB are passed on as they come
	pieceBytes = 16 << 10
	pause      = 300 * time.Millisecond // between two pieces
	wait       = 2000                   // ms that a client of schedule-set waits
	requests   = 6
	warmUp     = 20 // requests with short values before
)

var long atomic.Bool // the values from now on are long

func main() {
	record := stand.NewRecord("record.txt")
	list := stand.List{Rev: 1, All: true}
	for i := range 3 {
		b := stand.StartBackend(fmt.Sprintf("s-%d", i), "hall-a", i, record, answer)
		list.Targets = append(list.Targets, b.Target())
	}
	settings := stand.Settings(1)
	settings["permissions"].(map[string]any)["parallelTries"] = false
	ingress := stand.Start(settings, list, stand.Discovery(list), stand.Counter(), stand.Limits{MemoryMB: 64, Sockets: 608})
	defer stand.KillAll()
	for i := range warmUp {
		if kind := ask(record, ingress, i); kind != "served" {
			stand.Fatal("a request with a short value is %s", kind)
		}
	}
	long.Store(true)
	results := make(chan string)
	for i := range requests {
		go func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			results <- ask(record, ingress, warmUp+i)
		}()
	}
	ends := map[string]int{}
	for range requests {
		ends[<-results]++
	}
	record.Say("of %d long values %d were served whole and %d cut off while their backends still gave; others: %v",
		requests, ends["served"], ends["cut"], ends)
	record.Close()
	stand.KillAll()
	if ends["cut"]+ends["lost"]+ends["foreign"] > 0 {
		os.Exit(stand.Broken)
	}
}

// answer writes the value, in the disruption with a pause between pieces.
func answer(b *stand.Backend, c *stand.BackendConn, command stand.Command) bool {
	b.Record.Line("%s runs %s %s", b.Name, command.ID, command.Fields)
	stand.Pause(60 * time.Millisecond)
	if !long.Load() {
		return c.Send(stand.Served(stand.Value(command.ID, 200))) == nil
	}
	left := stand.Served(stand.Value(command.ID, valueBytes))
	if !stand.Trouble() {
		return c.Send(left) == nil
	}
	for sent := 0; len(left) > 0; {
		piece := left[:min(pieceBytes, len(left))]
		if err := c.Send(piece); err != nil {
			text := err.Error()
			b.Record.Line("%s can write no more of %s after %d bytes: %s", b.Name, command.ID, sent, text[strings.LastIndex(text, " ")+1:])
			return false
		}
		left, sent = left[len(piece):], sent+len(piece)
		b.Record.Line("%s has written %d bytes of %s", b.Name, sent, command.ID)
		if len(left) > 0 {
			time.Sleep(pause)
		}
	}
	return true
}

// ask sends one request on a connection of its own and returns what became of it.
func ask(record *stand.Record, ingress *stand.Ingress, number int) string {
	c, err := stand.Dial(ingress.Addr)
	if err != nil {
		stand.Fatal("%v", err)
	}
	defer c.Conn.Close()
	r := stand.Request{
		Command: "Q.ASK", Tenant: 1 + number, ID: stand.NewID(), Class: "schedule-set", Plan: "by", Millis: wait,
	}
	size := 200
	if long.Load() {
		size = valueBytes
	}
	record.Line("client %d sends %s", number, r.IDText())
	began := time.Now()
	c.Conn.Write(r.Encode())
	a := c.Read(60 * time.Second)
	if a.Kind == "served" && a.Value != stand.Value(r.IDText(), size) {
		a.Kind = "foreign"
	}
	record.Line("client %d, %s, after %.3f s of %.1f s: %s %s", number, r.IDText(), time.Since(began).Seconds(), float64(wait)/1000, a.Kind, a.Text)
	return a.Kind
}
