package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hitchspring/internal/lab"
	"hitchspring/internal/standin/fault"
	"hitchspring/internal/standin/gate"
)

type gateCmd struct {
	Listen string   `help:"Loopback address for plain HTTP: /CHANNEL/CLASS?plan=PLAN&key=KEY." default:"127.0.0.1:8080"`
	Ask    string   `help:"Loopback address of an ingress's [forward_auth]." required:""`
	Fault  []string `help:"A fault rule, from the start; may stand several times." sep:"none" placeholder:"RULE"`
	Seed   uint64   `help:"Of the faults' chances." default:"1"`
}

// run is the gate on its own, until a signal.
func (c *gateCmd) run(ctx context.Context, out io.Writer) (int, error) {
	for _, addr := range []string{c.Listen, c.Ask} {
		if err := onLoopback(addr); err != nil {
			return failed, err
		}
	}
	g := gate.New(c.Ask, c.Seed)
	defer g.Close()
	for _, text := range c.Fault {
		r, err := fault.Parse(text)
		if err != nil {
			return failed, err
		}
		g.Fault(r)
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return failed, err
	}
	srv := &http.Server{Handler: g, ReadHeaderTimeout: 5 * time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(ln)
	}()
	fmt.Fprintf(out, "gate on %s, which asks at %s\n", ln.Addr(), c.Ask)
	<-ctx.Done()
	srv.Close()
	<-done
	return lab.Clean, nil
}
