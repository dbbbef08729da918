package redis

import (
	"context"
	"fmt"
	"net"
	"time"

	"hitchspring/internal/standin/fault"
)

// newServer makes a server that holds ln and does not serve yet.
func newServer(g *Group, opt Options, ln net.Listener) *Server {
	ctx, stop := context.WithCancel(context.Background())
	addr := ln.Addr().String()
	return &Server{
		options: opt, group: g, commands: newCommandTable(), faults: fault.New(opt.Seed), start: time.Now(), ctx: ctx, stop: stop,
		ln: ln, addr: addr, clients: map[*client]bool{}, dbs: map[int]database{}, id: fmt.Sprintf("%040x", sha1Hex(addr)[:20]),
	}
}
