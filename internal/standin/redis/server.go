// Package redis is a stand-in for Redis, written from the public protocol: RESP2 and RESP3 over real sockets, keys
// with an expiry, transactions, Lua scripts, asynchronous replication with failover, Sentinel queries and cluster
// slots. It runs in memory, in one process, and implements only what client tests need. Faults come from a fault
// script or from the control port. The server records every command with its reply and its time.
package redis

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"hitchspring/internal/standin/fault"
)

const (
	maxDatabases      = 16
	defaultMaxClients = 10000
	maxQueuedCommands = 10000 // commands of one transaction
	flushThreshold    = 64 << 10
	writeTimeout      = 5 * time.Second
	lingerTimeout     = 200 * time.Millisecond
	pollInterval      = time.Millisecond
	maxRecords        = 1 << 20
	serverVersion     = "7.2.0"
)

// Options configures a server. The zero value listens on an ephemeral loopback port.
type Options struct {
	Listen       string                          // host:port; empty: an ephemeral port of 127.0.0.1
	User         string                          // user name for AUTH; empty: "default"
	Password     string                          // empty: no authentication
	MaxClients   int                             // 0: 10,000
	IdleTimeout  time.Duration                   // idle connections are closed after this time; 0: never
	Seed         uint64                          // seed of the fault script's probabilities
	Now          func() time.Time                // clock for key expiry; nil: the system clock
	WrapListener func(net.Listener) net.Listener // wraps the listener, for example in TLS; nil: not wrapped
}

// Record describes one command that the server received.
type Record struct {
	At      time.Duration // since the server's start
	Conn    int64
	Caller  string // connection name, from CLIENT SETNAME or HELLO
	Args    []string
	Applied bool   // whether the command was executed
	Reply   string // the reply as encoded; empty if there was none
	Fault   fault.Kind
}

// Server is one Redis server: a primary, a replica, a Sentinel or a cluster shard. It runs one goroutine to accept
// connections, one per connection, one per subscribed connection to send its messages, and one per delayed action of
// a fault or a control command. Close stops them all and waits for them.
type Server struct {
	options  Options
	group    *Group
	commands map[string]command
	faults   *fault.Script
	start    time.Time
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	// group.mu guards the fields below.
	ln            net.Listener
	addr          string
	clients       map[*client]bool
	lastConnID    int64
	dbs           map[int]database
	scripts       scripts
	master        *Server   // nil: a primary
	appliedOffset int       // on a replica: offset in the group's log up to which it has applied effects
	loadingUntil  time.Time // commands are answered with LOADING until then
	stopped       bool      // refuses connections
	silent        bool      // accepts connections and commands, but sends no replies
	readOnly      bool      // answers writes with READONLY
	outOfMemory   bool      // answers writes with OOM
	acceptFilter  func(net.Conn) bool
	cluster       *Cluster
	sentinel      bool
	id            string
	records       []Record
}

// Start starts a primary in a new group. The caller must call Close.
func Start(opt Options) (*Server, error) {
	g := newGroup()
	return g.add(opt, nil)
}

// Addr returns the server's listen address.
func (s *Server) Addr() string { return s.addr }

// Since returns the time since the server's start. Records use the same clock.
func (s *Server) Since() time.Duration { return time.Since(s.start) }

// Faults returns the fault script. Its rules match commands by command name, and callers by connection name.
func (s *Server) Faults() *fault.Script { return s.faults }

// Fault adds a fault rule that applies from now on.
func (s *Server) Fault(r fault.Rule) { s.faults.Add(s.Since(), r) }

// Records returns the commands recorded so far, in the order in which they completed.
func (s *Server) Records() []Record {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return slices.Clone(s.records)
}

// Clients returns the number of open connections.
func (s *Server) Clients() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return len(s.clients)
}

// HashField reads a field of a hash directly, without a client. It reports false if the field doesn't exist.
func (s *Server) HashField(db int, key, field string) (string, bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	x := &call{server: s, db: db, now: s.options.Now()}
	e := x.get(key)
	if e == nil || e.hash == nil {
		return "", false
	}
	v, ok := e.hash[field]
	return v, ok
}

// newServer returns a server that owns ln but does not accept connections yet.
func newServer(g *Group, opt Options, ln net.Listener) *Server {
	ctx, stop := context.WithCancel(context.Background())
	addr := ln.Addr().String()
	return &Server{
		options:  opt,
		group:    g,
		commands: newCommandTable(),
		faults:   fault.New(opt.Seed),
		start:    time.Now(),
		ctx:      ctx,
		stop:     stop,
		ln:       ln,
		addr:     addr,
		clients:  map[*client]bool{},
		dbs:      map[int]database{},
		id:       fmt.Sprintf("%040x", sha1Hex(addr)[:20]),
	}
}
