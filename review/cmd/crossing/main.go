// Command crossing plays a planned restart while a client reads a long value slowly. The client's next command crosses
// the end of the connection. The value must still arrive whole.
package main

import (
	"bytes"
	"fmt"
	"os"
	"syscall"
	"time"

	"hitchspring/review/stand"
)

const (
	valueBytes = 1 << 20
	readRate   = 512 << 10 // bytes that the client reads in a second
	termAfter  = 100 * time.Millisecond
	nextAfter  = 1200 * time.Millisecond // from the first command to the next
)

func main() {
	record := stand.NewRecord("record.txt")
	list := stand.List{Rev: 1, All: true}
	for i := range 3 {
		b := stand.StartBackend(fmt.Sprintf("s-%d", i), "hall-a", i, record, answer)
		list.Targets = append(list.Targets, b.Target())
	}
	ingress := stand.Start(stand.Settings(1), list, stand.Discovery(list), stand.Counter(), stand.Limits{MemoryMB: 64, Sockets: 608})
	defer stand.KillAll()
	c, err := stand.Dial(ingress.Addr)
	if err != nil {
		stand.Fatal("%v", err)
	}
	first := stand.Request{Command: "Q.ASK", Tenant: 1, ID: stand.NewID(), Class: "guide-read", Plan: "by", Millis: 1000}
	next := stand.Request{Command: "Q.ASK", Tenant: 2, ID: stand.NewID(), Class: "schedule-set", Plan: "by", Millis: 2000}
	record.Line("the client sends %s", first.IDText())
	c.Conn.Write(first.Encode())
	if stand.Trouble() {
		time.AfterFunc(termAfter, func() {
			record.Line("SIGTERM")
			ingress.Signal(syscall.SIGTERM)
		})
	}
	time.AfterFunc(nextAfter, func() {
		_, err := c.Conn.Write(next.Encode())
		record.Line("the client sends %s: %v", next.IDText(), err)
	})
	value := stand.Value(first.IDText(), valueBytes)
	whole := fmt.Appendf(nil, "$%d\r\n%s\r\n", len(value), value)
	got, err := readSlowly(c, len(whole))
	broken := !bytes.Equal(got, whole)
	record.Say("the client has %d of %d bytes of the first answer: %v", len(got), len(whole), err)
	if !broken {
		a := c.Read(2 * time.Second)
		record.Line("the second command: %s %s", a.Kind, a.Text)
	}
	record.Close()
	stand.KillAll()
	if broken {
		os.Exit(stand.Broken)
	}
}

func answer(b *stand.Backend, c *stand.BackendConn, command stand.Command) bool {
	b.Record.Line("%s runs %s %s", b.Name, command.ID, command.Fields)
	stand.Pause(30 * time.Millisecond)
	size := 200
	if command.Field("c") == "guide-read" {
		size = valueBytes
	}
	err := c.Send(stand.Served(stand.Value(command.ID, size)))
	b.Record.Line("%s has written the answer to %s: %v", b.Name, command.ID, err)
	return err == nil
}

// readSlowly reads size bytes at readRate.
func readSlowly(c *stand.Client, size int) (got []byte, err error) {
	began := time.Now()
	buffer := make([]byte, 16<<10)
	for len(got) < size && err == nil {
		c.Conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		var n int
		n, err = c.Conn.Read(buffer[:min(len(buffer), size-len(got))])
		got = append(got, buffer[:n]...)
		due := time.Duration(float64(len(got)) / readRate * float64(time.Second))
		time.Sleep(max(0, due-time.Since(began)))
	}
	return got, err
}
