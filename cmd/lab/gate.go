package main

import (
	"context"
	"fmt"
	"io"
	"net"

	"hitchspring/internal/lab"
	"hitchspring/internal/standin/fault"
	"hitchspring/internal/standin/gate"
)

// gateCmd runs the gate stand-in by itself. A gate is a proxy that calls the forward authentication of an instance.
//
//nolint:lll // a struct tag can't be wrapped
type gateCmd struct {
	Listen   string   `help:"Loopback address for plain HTTP: /CHANNEL/CLASS?plan=PLAN&key=KEY." default:"127.0.0.1:8080"`
	Instance string   `name:"ask" help:"Loopback address of an ingress's [forward_auth]." required:""`
	Faults   []string `name:"fault" help:"A fault rule, from the start; may stand several times." sep:"none" placeholder:"RULE"`
	Seed     uint64   `help:"Of the faults' chances." default:"1"`
}

// run serves until ctx is done.
func (c *gateCmd) run(ctx context.Context, out io.Writer) (int, error) {
	for _, addr := range []string{c.Listen, c.Instance} {
		if err := checkLoopback(addr); err != nil {
			return failed, err
		}
	}
	stub := gate.New(c.Instance, c.Seed)
	defer stub.Close()
	for _, text := range c.Faults {
		rule, err := fault.Parse(text)
		if err != nil {
			return failed, err
		}
		stub.Fault(rule)
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return failed, err
	}
	stop := serveHTTP(listener, stub)
	defer stop()
	fmt.Fprintf(out, "gate on %s, which asks at %s\n", listener.Addr(), c.Instance)
	<-ctx.Done()
	return lab.Clean, nil
}
