package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"hitchspring/internal/lab"
	"hitchspring/internal/standin/redis"
)

// readHeaderTimeout is the limit for reading the headers of an HTTP request to a stand-in.
const readHeaderTimeout = 5 * time.Second

// redisCmd runs the Redis stand-in by itself.
type redisCmd struct {
	Listen       string `help:"Loopback address." default:"127.0.0.1:6379"`
	Control      string `help:"Loopback address that takes faults over HTTP; empty: none."`
	PasswordFile string `help:"The password that clients must give." type:"path" placeholder:"FILE"`
}

// run serves until ctx is done.
func (c *redisCmd) run(ctx context.Context, out io.Writer) (int, error) {
	for _, addr := range []string{c.Listen, c.Control} {
		if err := checkLoopback(addr); err != nil {
			return failed, err
		}
	}
	options := redis.Options{Listen: c.Listen}
	if c.PasswordFile != "" {
		text, err := os.ReadFile(c.PasswordFile)
		if err != nil {
			return failed, err
		}
		options.Password = strings.TrimSpace(string(text))
	}
	server, err := redis.Start(options)
	if err != nil {
		return failed, err
	}
	defer server.Close()
	fmt.Fprintln(out, "redis stand-in on", server.Addr())
	if c.Control != "" {
		listener, err := net.Listen("tcp", c.Control)
		if err != nil {
			return failed, err
		}
		stop := serveHTTP(listener, server.Control())
		defer stop()
		addr := listener.Addr()
		fmt.Fprintf(out, "control on %s: curl -d 'stall 2s' http://%s/fault\n", addr, addr)
	}
	<-ctx.Done()
	return lab.Clean, nil
}

// serveHTTP serves on a listener in a new goroutine. The caller must call stop, which closes the listener and all
// connections and waits for the goroutine.
func serveHTTP(listener net.Listener, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // returns when stop closes the server
	}()
	return func() {
		server.Close()
		<-done
	}
}

// checkLoopback returns an error unless an address is on loopback or empty. Stand-ins have no access control, so other
// machines must not reach them.
func checkLoopback(addr string) error {
	if addr == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%q is not a loopback address", addr)
	}
	return nil
}
