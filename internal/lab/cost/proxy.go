package cost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"hitchspring/internal/resp"
)

const proxyBuffer = 4 << 10

// proxy forwards each command to the next backend, round robin, over a pooled connection and returns the answer. It
// has no admission, quotas, retries or timeouts, so its cost is a lower bound for that of any ingress. Each client
// connection has one goroutine, which ends with the connection.
type proxy struct {
	backends    []*backendPool
	nextBackend atomic.Uint64
	mu          sync.Mutex // guards clients
	clients     map[net.Conn]bool
	wg          sync.WaitGroup
}

// backendPool holds the idle connections to one backend. The most recently used one is taken first.
type backendPool struct {
	addr string
	mu   sync.Mutex
	idle []*framedConn
}

// framedConn reads a connection one RESP value at a time, without decoding the values.
type framedConn struct {
	net.Conn
	buf        []byte
	begin, end int // bounds of the unread bytes in buf
}

func newFramedConn(nc net.Conn) *framedConn {
	return &framedConn{Conn: nc, buf: make([]byte, proxyBuffer)}
}

// next returns the bytes of the next value. They are valid until the next call.
func (f *framedConn) next() ([]byte, error) {
	for {
		size, err := resp.FrameLength(f.buf[f.begin:f.end], 0)
		if err != nil {
			return nil, err
		}
		if size > 0 {
			value := f.buf[f.begin : f.begin+size]
			f.begin += size
			return value, nil
		}
		f.end = copy(f.buf, f.buf[f.begin:f.end])
		f.begin = 0
		if f.end == len(f.buf) {
			f.buf = append(f.buf, make([]byte, len(f.buf))...)
		}
		n, err := f.Read(f.buf[f.end:])
		if n == 0 && err != nil {
			return nil, err
		}
		f.end += n
	}
}

// ServeProxy runs the bare proxy on the listener until the context ends, and then closes the listener. It returns nil
// if the context has ended.
func ServeProxy(ctx context.Context, ln net.Listener, backends []string) error {
	if len(backends) == 0 {
		ln.Close()
		return errors.New("proxy: no backend is given")
	}
	p := &proxy{clients: map[net.Conn]bool{}}
	for _, addr := range backends {
		p.backends = append(p.backends, &backendPool{addr: addr})
	}
	stop := context.AfterFunc(ctx, func() {
		ln.Close()
		p.closeClients()
	})
	defer stop()
	err := p.accept(ln)
	ln.Close()
	p.closeClients()
	p.wg.Wait()
	for _, b := range p.backends {
		for _, c := range b.idle {
			c.Close()
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("proxy: %w", err)
}

func (p *proxy) accept(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.clients[nc] = true
		p.mu.Unlock()
		p.wg.Go(func() {
			p.serve(newFramedConn(nc))
			nc.Close()
			p.mu.Lock()
			delete(p.clients, nc)
			p.mu.Unlock()
		})
	}
}

func (p *proxy) closeClients() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for nc := range p.clients {
		nc.Close()
	}
}

// serve forwards a client's commands one at a time until the client's or a backend's connection fails.
func (p *proxy) serve(client *framedConn) {
	for {
		command, err := client.next()
		if err != nil {
			return
		}
		if string(command) == ping {
			if _, err := io.WriteString(client, pong); err != nil {
				return
			}
			continue
		}
		if err := p.forward(client, command); err != nil {
			return
		}
	}
}

func (p *proxy) forward(client *framedConn, command []byte) error {
	pool := p.backends[p.nextBackend.Add(1)%uint64(len(p.backends))]
	backend, err := pool.get()
	if err != nil {
		return err
	}
	if _, err := backend.Write(command); err != nil {
		backend.Close()
		return err
	}
	answer, err := backend.next()
	if err != nil {
		backend.Close()
		return err
	}
	_, err = client.Write(answer)
	pool.put(backend)
	return err
}

func (b *backendPool) get() (*framedConn, error) {
	b.mu.Lock()
	if n := len(b.idle); n > 0 {
		c := b.idle[n-1]
		b.idle = b.idle[:n-1]
		b.mu.Unlock()
		return c, nil
	}
	b.mu.Unlock()
	nc, err := net.Dial("tcp", b.addr)
	if err != nil {
		return nil, err
	}
	return newFramedConn(nc), nil
}

func (b *backendPool) put(c *framedConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle = append(b.idle, c)
}
