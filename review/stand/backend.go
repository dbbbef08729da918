package stand

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Command is one command that a backend has taken.
type Command struct {
	Name, Tenant, ID, Fields, Body string
}

// Handler answers a command on a connection. It writes the answer by itself. If it returns false, the connection ends.
type Handler func(b *Backend, c *BackendConn, command Command) bool

// BackendConn is a connection at a backend.
type BackendConn struct {
	net.Conn
	in      *bufio.Reader
	writeMu sync.Mutex
	Taken   atomic.Int64 // commands that have come whole
}

// Send writes bytes at once.
func (c *BackendConn) Send(b []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := c.Write(b)
	return err
}

// Backend is a stand-in of a playout node.
type Backend struct {
	Name    string
	Zone    string
	Group   int
	Addr    string
	Record  *Record
	Answers Handler
	Way     time.Duration // how long the network takes, one way
	Cap     int           // how many connections it holds; 0: any number
	Taken   atomic.Int64  // requests that have come whole

	mu       sync.Mutex // guards ln and open
	ln       net.Listener
	open     int
	second   atomic.Int64
	lastRate atomic.Int64
}

// StartBackend starts a backend.
func StartBackend(name, zone string, group int, record *Record, answers Handler) *Backend {
	b := &Backend{Name: name, Zone: zone, Group: group, Record: record, Answers: answers}
	b.Start()
	return b
}

// Start makes a backend listen whose fields are set.
func (b *Backend) Start() {
	b.ln = Listen()
	b.Addr = b.ln.Addr().String()
	go b.accept(b.ln)
	go func() {
		for range time.Tick(time.Second) {
			b.lastRate.Store(b.second.Swap(0))
		}
	}()
}

// Target returns the backend's entry in discovery's list.
func (b *Backend) Target() Target {
	return Target{UID: b.Name, Endpoint: b.Addr, Zone: b.Zone, Model: "std-2c", Group: b.Group, State: "SERVING", Capacity: 1}
}

func (b *Backend) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.open++
		if b.Cap > 0 && b.open >= b.Cap && b.ln != nil { // further connections are refused
			b.ln.Close()
			b.ln = nil
		}
		b.mu.Unlock()
		go func() {
			b.serve(&BackendConn{Conn: conn, in: bufio.NewReaderSize(conn, 16<<10)})
			b.closed()
		}()
	}
}

// closed counts a connection that has ended, and listens again if there is room for another.
func (b *Backend) closed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	if b.ln != nil || b.open >= b.Cap {
		return
	}
	ln, err := net.Listen("tcp", b.Addr)
	if err != nil {
		Fatal("%s listens again: %v", b.Name, err)
	}
	b.ln = ln
	go b.accept(ln)
}

// serve takes the commands of a connection one after the other and answers each before the next.
func (b *Backend) serve(c *BackendConn) {
	defer c.Close()
	for {
		c.SetReadDeadline(time.Now().Add(15 * time.Second))
		args, err := readCommand(c.in)
		if err != nil {
			return
		}
		switch {
		case args[0] == "PING":
			c.Send([]byte("+PONG\r\n"))
		case args[0] == "INFO":
			load := fmt.Sprintf("qps=%d", b.lastRate.Load())
			c.Send(fmt.Appendf(nil, "$%d\r\n%s\r\n", len(load), load))
		case args[0] == "CLIENT" || args[0] == "SELECT":
			c.Send([]byte("+OK\r\n"))
		case (args[0] == "Q.ASK" || args[0] == "Q.DO") && len(args) >= 4 && len(args) <= 5:
			command := Command{Name: args[0], Tenant: args[1], ID: args[2], Fields: args[3]}
			if len(args) == 5 {
				command.Body = args[4]
			}
			Pause(b.Way)
			c.Taken.Add(1)
			b.Taken.Add(1)
			b.second.Add(1)
			if !b.Answers(b, c, command) {
				return
			}
		default:
			c.Send([]byte("-ERR unknown\r\n"))
		}
	}
}

// Field returns a value of a command's list of names and values.
func (c Command) Field(name string) string {
	for _, field := range strings.Split(c.Fields, ",") {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			return value
		}
	}
	return ""
}

// Value returns the value that every backend makes for a request: it names the request and is size bytes long.
func Value(id string, size int) string {
	head := "value for " + id + " "
	if size <= len(head) {
		return head
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	return head + strings.Repeat(fmt.Sprintf("%08x", h.Sum32()), (size-len(head))/8+1)[:size-len(head)]
}

// Served encodes an answer with a value.
func Served(value string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// Pause waits as precisely as the kernel does; the runtime's timers round up to a millisecond.
func Pause(d time.Duration) {
	if d > 0 {
		left := syscall.NsecToTimespec(int64(d))
		syscall.Nanosleep(&left, nil)
	}
}
