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

type redisCmd struct {
	Listen       string `help:"Loopback address." default:"127.0.0.1:6379"`
	Control      string `help:"Loopback address that takes faults over HTTP; empty: none."`
	PasswordFile string `help:"The password that clients must give." type:"path" placeholder:"FILE"`
}

// run is the stand-in on its own, until a signal.
func (c *redisCmd) run(ctx context.Context, out io.Writer) (int, error) {
	for _, addr := range []string{c.Listen, c.Control} {
		if err := onLoopback(addr); err != nil {
			return failed, err
		}
	}
	opt := redis.Options{Listen: c.Listen}
	if c.PasswordFile != "" {
		b, err := os.ReadFile(c.PasswordFile)
		if err != nil {
			return failed, err
		}
		opt.Password = strings.TrimSpace(string(b))
	}
	s, err := redis.Start(opt)
	if err != nil {
		return failed, err
	}
	defer s.Close()
	fmt.Fprintln(out, "redis stand-in on", s.Addr())
	if c.Control != "" {
		ln, err := net.Listen("tcp", c.Control)
		if err != nil {
			return failed, err
		}
		srv := &http.Server{Handler: s.Control(), ReadHeaderTimeout: 5 * time.Second}
		defer srv.Close()
		go srv.Serve(ln)
		fmt.Fprintf(out, "control on %s: curl -d 'stall 2s' http://%s/fault\n", ln.Addr(), ln.Addr())
	}
	<-ctx.Done()
	return lab.Clean, nil
}

// onLoopback refuses addresses that others could reach: a stand-in keeps no secret.
func onLoopback(addr string) error {
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
