// Package redis is a stand-in for Redis, written from its public protocol: RESP2 and RESP3 over real sockets, keys
// with an expiry, transactions, Lua scripts, asynchronous replication with failover, Sentinel's queries and a
// cluster's slots. It has what is needed to test clients against it and no more, in memory, in one process. Faults
// come from a fault script and a control port. An observer records every command with its reply and its time.
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

// Options are what a server is started with; the zero value listens on an ephemeral loopback port.
type Options struct {
	Listen     string // host:port; empty: an ephemeral port of 127.0.0.1
	User       string // with Password: who may log in; empty: "default"
	Password   string // empty: none wanted
	MaxClients int    // 0: 10,000
	Idle       time.Duration
	Seed       uint64                          // of the fault script's chances
	Now        func() time.Time                // for the expiry of keys; nil: the system's clock
	Wrap       func(net.Listener) net.Listener // TLS, say; nil: none
}

// Record is one command as the server saw it.
type Record struct {
	At      time.Duration // since the server's start
	Conn    int64
	Caller  string // the name that the client gave its connection
	Args    []string
	Applied bool   // it ran
	Reply   string // as written; empty if there was none
	Fault   fault.Kind
}

// Server is one process of Redis: a primary, a replica, a Sentinel or a shard of a cluster. It runs a goroutine that
// accepts connections, one for each connection and for its messages, and one for each pause of a fault or of the
// control port; Close ends them all and waits for them.
type Server struct {
	options  Options
	group    *Group
	commands map[string]command
	faults   *fault.Script
	start    time.Time
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	// group.mu guards all below.
	ln           net.Listener
	addr         string
	clients      map[*client]bool
	lastConnID   int64
	dbs          map[int]database
	scripts      scripts
	master       *Server // nil: a primary
	applied      int     // of the group's log, where this is a replica
	loading      time.Time
	down         bool // accepts nothing
	silent       bool // accepts and never answers
	readonly     bool
	full         bool // OOM
	acceptFilter func(net.Conn) bool
	cluster      *Cluster
	sentinel     bool
	id           string
	records      []Record
}

// Start starts a primary of a group of its own. Close ends it.
func Start(opt Options) (*Server, error) {
	g := newGroup()
	return g.add(opt, nil)
}

// Addr returns the address where the server listens.
func (s *Server) Addr() string { return s.addr }

// Since returns the time since the server's start, the clock of its records.
func (s *Server) Since() time.Duration { return time.Since(s.start) }

// Faults returns the fault script. It knows commands by their names, and callers by the names of their clients.
func (s *Server) Faults() *fault.Script { return s.faults }

// Fault puts a rule in force from now on.
func (s *Server) Fault(r fault.Rule) { s.faults.Add(s.Since(), r) }

// Records returns the commands so far, in the order in which they ended.
func (s *Server) Records() []Record {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return slices.Clone(s.records)
}

// Clients returns how many connections are open.
func (s *Server) Clients() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return len(s.clients)
}

// HashField returns a field of a hash without a client. It reports false if there is none.
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

// newServer returns a server that owns ln and does not serve yet.
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
