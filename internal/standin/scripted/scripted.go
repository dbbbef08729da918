// Package scripted provides minimal stand-in servers for tests: a listener, a backend whose replies the test supplies,
// a backend that can delay the establishment of connections, and a discovery agent with one endpoint list. Each server
// listens on an ephemeral loopback port and is stopped when its test ends. The servers don't check the commands that
// they receive; a test can do so with Backend.Seen.
package scripted

import (
	"net"
	"sync"
	"testing"
)

// Listen listens on an ephemeral loopback port and calls serve for every connection.
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

// accept calls serve for every connection, each in a separate goroutine. When the test ends, it closes the listener and
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
