// Command inorder plays case 3: clients send many commands at once on a connection and read all that they are sent. The
// first command of each takes longer than the others, whose answers wait for it.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"hitchspring/review/stand"
)

const (
	memoryMB   = 64 // of the ingress
	rounds     = 4  // at the most; the first that loses a request is the last
	clients    = 10
	commands   = 64       // that a client sends
	valueBytes = 64 << 10 // of guide-read: the most that a usual value has
	readWork   = 30 * time.Millisecond
	clipWork   = 290 * time.Millisecond // 150 ms on a machine at 0.51 of the speed
)

// ran has the ids of the requests that a backend has run.
var ran sync.Map

func main() {
	record := stand.NewRecord("record.txt")
	list := stand.List{Rev: 1, All: true}
	for i := range 12 {
		b := stand.StartBackend(fmt.Sprintf("s-%d", i), "hall-a", i/3, record, answer)
		list.Targets = append(list.Targets, b.Target())
	}
	stand.Admin = stand.FreeAddr()
	ingress := stand.Start(stand.Settings(1), list, stand.Discovery(list), stand.Counter(),
		stand.Limits{MemoryMB: memoryMB, Sockets: 608})
	defer stand.KillAll()
	var mu sync.Mutex
	ends, asked := map[string]int{}, 0
	for round := 0; round < rounds && ends["lost"] == 0; round++ {
		if round > 0 {
			time.Sleep(2 * time.Second)
		}
		asked += clients * commands
		var wg sync.WaitGroup
		for i := range clients {
			wg.Go(func() {
				for kind, n := range client(record, ingress, round*clients+i) {
					mu.Lock()
					ends[kind] += n
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	record.Line("the ingress says:\n%s", closeReasons())
	if ingress.HasExited() {
		record.Say("the ingress has ended: %v", ingress.State)
	}
	record.Say("of %d requests %d were served, %d refused, %d failed, %d lost (the ingress closed the connection with no answer); backends had run %d of the lost ones",
		asked, ends["served"], ends["refused"], ends["failed"], ends["lost"], ends["lost and run"])
	record.Close()
	stand.KillAll()
	if ends["lost"] > 0 {
		os.Exit(stand.Broken)
	}
}

func answer(b *stand.Backend, c *stand.BackendConn, command stand.Command) bool {
	ran.Store(command.ID, true)
	b.Record.Line("%s runs %s %s", b.Name, command.ID, command.Fields)
	work, size := readWork, valueBytes
	if command.Field("c") == "clip-publish" {
		work, size = clipWork, 200
	}
	stand.Pause(work)
	return c.Send(stand.Served(stand.Value(command.ID, size))) == nil
}

// client sends its commands at once and reads an answer for each. Without the disruption it sends each command after
// the answer to the one before.
func client(record *stand.Record, ingress *stand.Ingress, number int) map[string]int {
	ends := map[string]int{}
	c, err := stand.Dial(ingress.Addr)
	if err != nil {
		stand.Fatal("%v", err)
	}
	defer c.Conn.Close()
	var requests []stand.Request
	var text []byte
	for k := range commands {
		r := stand.Request{
			Command: "Q.ASK", Tenant: 1 + number*commands + k, ID: stand.NewID(), Class: "guide-read", Plan: "by", Millis: 1000,
		}
		if k == 0 {
			r.Command, r.Class, r.Key, r.Millis = "Q.DO", "clip-publish", fmt.Sprintf("%016x", r.ID), 5000
		}
		requests = append(requests, r)
		text = append(text, r.Encode()...)
	}
	if stand.Trouble() {
		record.Line("client %d sends %d commands at once: %s to %s", number, commands, requests[0].IDText(), requests[commands-1].IDText())
		c.Conn.Write(text)
	}
	for k, r := range requests {
		if !stand.Trouble() {
			record.Line("client %d sends %s", number, r.IDText())
			c.Conn.Write(r.Encode())
		}
		a := c.Read(10 * time.Second)
		record.Line("client %d, command %d, %s: %s %s", number, k, r.IDText(), a.Kind, a.Text)
		if a.Kind == "lost" || a.Kind == "cut" {
			ends["lost"] += commands - k
			for _, left := range requests[k:] {
				if _, ok := ran.Load(left.IDText()); ok {
					ends["lost and run"]++
				}
			}
			return ends
		}
		ends[a.Kind]++
	}
	return ends
}

// closeReasons returns why the ingress closed clients' connections, as its operators see it.
func closeReasons() string {
	resp, err := http.Get("http://" + stand.Admin + "/v1/metrics")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	var lines []string
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "connections_closed") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return strings.Join(lines, "\n")
}
