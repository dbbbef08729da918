package stand

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// Client is one connection of the clients' front.
type Client struct {
	Conn net.Conn
	in   *bufio.Reader
}

// Dial connects to an ingress.
func Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, in: bufio.NewReaderSize(conn, 64<<10)}, nil
}

// Read reads the next answer, for at most wait.
func (c *Client) Read(wait time.Duration) Answer {
	c.Conn.SetReadDeadline(time.Now().Add(wait))
	return readAnswer(c.in)
}

// Quiet reports whether the connection is open and has no bytes that nobody asked for.
func (c *Client) Quiet() bool {
	c.Conn.SetReadDeadline(time.Now().Add(200 * time.Microsecond))
	_, err := c.in.Peek(1)
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// Request is a request of a client.
type Request struct {
	Command string // Q.ASK or Q.DO
	Tenant  int
	ID      uint64
	Class   string
	Plan    string
	Millis  int // how long the client waits
	Key     string
	Body    string
	First   int // number of the ingress that the customer uses
}

var lastID atomic.Uint64

// NewID returns an id that no request of this case has.
func NewID() uint64 { return uint64(time.Now().UnixNano())<<20 | lastID.Add(1)&0xfffff }

// IDText is the id on the wire.
func (r Request) IDText() string { return fmt.Sprintf("%016x", r.ID) }

// Encode returns the command as it is written to an ingress.
func (r Request) Encode() []byte {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,", r.Class, r.Plan, r.Millis)
	if r.Key != "" {
		fields += "k=" + r.Key + ","
	}
	fields += fmt.Sprintf("units=1,spread=1,first=%d", r.First)
	args := []string{r.Command, fmt.Sprintf("%016x", r.Tenant), r.IDText(), fields}
	if r.Body != "" {
		args = append(args, r.Body)
	}
	return EncodeCommand(args...)
}
