// Package scripted has the smallest stand-in servers for tests: a listener, a backend whose replies a test writes one
// by one, a backend to which connections come up late, and a discovery agent with one endpoint list. Each takes the
// test that uses it, listens on an ephemeral loopback port, and ends with that test. None of them checks what it
// receives: the test does, with Seen.
package scripted

import (
	"net"
	"sync"
	"testing"
)

// Listen opens an ephemeral port on the loopback address and hands every connection to serve.
func Listen(t testing.TB, serve func(net.Conn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accept(t, ln, serve)
	return ln.Addr().String()
}

// listener is the part of net.Listener that accept needs.
type listener interface {
	Accept() (net.Conn, error)
	Close() error
}

// accept hands every connection to serve, each in a goroutine of its own. When the test ends it closes the listener and
// all connections, and waits for these goroutines.
func accept(t testing.TB, ln listener, serve func(net.Conn)) {
	var wg sync.WaitGroup
	var mu sync.Mutex // guards open
	var open []net.Conn
	wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, nc)
			mu.Unlock()
			wg.Go(func() {
				defer nc.Close()
				serve(nc)
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		for _, nc := range open {
			nc.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
}
