package redis

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"
)

// maxLogBehind is the number of effects known to all replicas at which the log is cut.
const maxLogBehind = 1024

// effect is a write of the primary, as the replicas apply it.
type effect struct {
	at   time.Time
	db   int
	args []string
}

// Group is a primary and its replicas, in one process and under one mutex. The log of effects reaches a replica after
// the lag; what it has not reached at a failover is lost.
type Group struct {
	mu          sync.Mutex // guards all below, and the fields of the servers
	servers     []*Server
	primary     *Server
	log         []effect
	offset      int // of the log's first effect since the start
	lag         time.Duration
	subscribers map[string][]*client // of channels
	sentinels   []*Server
	name        string // by which Sentinels know it
}

func newGroup() *Group { return &Group{subscribers: map[string][]*client{}, name: "mymaster"} }

// Group returns the group of the server.
func (s *Server) Group() *Group { return s.group }

func (g *Group) add(opt Options, master *Server) (*Server, error) {
	s, err := g.listen(opt)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.master = master
	if master == nil {
		g.primary = s
	} else {
		s.copyFrom(master)
	}
	g.servers = append(g.servers, s)
	s.serveOn(s.ln)
	return s, nil
}

func (g *Group) listen(opt Options) (*Server, error) {
	if opt.Listen == "" {
		opt.Listen = "127.0.0.1:0"
	}
	if opt.MaxClients <= 0 {
		opt.MaxClients = defaultMaxClients
	}
	if opt.User == "" {
		opt.User = "default"
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	ln, err := net.Listen("tcp", opt.Listen)
	if err != nil {
		return nil, fmt.Errorf("redis stand-in: %w", err)
	}
	s := newServer(g, opt, ln)
	return s, nil
}

// AddReplica starts a replica of the primary, with all that it holds by now.
func (g *Group) AddReplica(opt Options) (*Server, error) {
	g.mu.Lock()
	primary := g.primary
	g.mu.Unlock()
	return g.add(opt, primary)
}

// SetLag sets how long an effect takes to a replica.
func (g *Group) SetLag(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lag = d
}

// Primary returns the server that takes writes.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// copyFrom makes a replica hold what the primary does.
func (s *Server) copyFrom(master *Server) {
	s.dbs = map[int]database{}
	for n, db := range master.dbs {
		s.dbs[n] = database{}
		for k, e := range db {
			s.dbs[n][k] = cloneEntry(e)
		}
	}
	s.applied = s.group.offset + len(s.group.log)
}

// propagate logs an effect of the primary.
func (s *Server) propagate(db int, now time.Time, args []string) {
	if s.group.primary == s && len(s.group.servers) > 1 {
		s.group.log = append(s.group.log, effect{now, db, slices.Clone(args)})
	}
}

// catchUp applies to the replicas the effects that have reached them by now.
func (g *Group) catchUp(now time.Time) {
	minApplied := g.offset + len(g.log)
	for _, r := range g.servers {
		if r.master == nil || r.down {
			continue
		}
		for r.applied < g.offset+len(g.log) {
			e := g.log[r.applied-g.offset]
			if now.Sub(e.at) < g.lag {
				break
			}
			r.applyEffect(e, now)
		}
		minApplied = min(minApplied, r.applied)
	}
	if n := minApplied - g.offset; n > maxLogBehind {
		g.log, g.offset = slices.Clone(g.log[n:]), minApplied
	}
}

// applyEffect applies an effect of the primary to a replica.
func (s *Server) applyEffect(e effect, now time.Time) {
	x := &call{server: s, db: e.db, now: now, replicated: true}
	s.execute(x, e.args)
	s.applied++
}

// Failover makes the replica the primary and returns how many effects were lost. With split the
// old primary goes on taking writes, which are lost; otherwise it becomes a replica. Sentinels publish the change.
func (g *Group) Failover(to *Server, split bool) (lost int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := to.options.Now()
	g.catchUp(now)
	lost = g.offset + len(g.log) - to.applied
	old := g.primary
	g.log, g.offset = nil, g.offset+len(g.log)
	g.primary, to.master = to, nil
	for _, s := range g.servers {
		s.applied = g.offset
		if s == to || s == old && split {
			continue
		}
		s.master = to
		s.copyFrom(to)
	}
	g.publish("+switch-master", fmt.Sprintf("%s %s %s", g.name, hostPort(old.addr), hostPort(to.addr)))
	return lost
}

func hostPort(addr string) string {
	host, port, _ := net.SplitHostPort(addr)
	return host + " " + port
}

func (s *Server) isReplica() bool { return s.master != nil }

func (s *Server) roleName() string {
	switch {
	case s.sentinel:
		return "sentinel"
	case s.isReplica():
		return "replica"
	}
	return "master"
}

func cmdRole(x *call, _ []string) value {
	s, g := x.server, x.server.group
	if s.sentinel {
		return array(bulk("sentinel"), array(bulk(g.name)))
	}
	if s.isReplica() {
		host, port, _ := net.SplitHostPort(s.master.addr)
		n, _ := strconv.Atoi(port)
		return array(bulk("slave"), bulk(host), integer(int64(n)), bulk("connected"), integer(int64(s.applied)))
	}
	replicas := array()
	for _, r := range g.servers {
		if r.master == s {
			host, port, _ := net.SplitHostPort(r.addr)
			replicas.list = append(replicas.list, array(bulk(host), bulk(port), bulk(strconv.Itoa(r.applied))))
		}
	}
	return array(bulk("master"), integer(int64(g.offset+len(g.log))), replicas)
}

// cmdWait is WAIT replicas ms. It releases the mutex between checks.
func cmdWait(x *call, a []string) value {
	want, err1 := strconv.Atoi(a[1])
	ms, err2 := strconv.Atoi(a[2])
	if err1 != nil || err2 != nil || ms < 0 {
		return failure(notInteger)
	}
	s, g := x.server, x.server.group
	if s.isReplica() {
		return errorf("WAIT cannot be used with replica instances. " +
			"Please also note that writes to replicas are just local.")
	}
	upTo := g.offset + len(g.log)
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		g.catchUp(s.options.Now())
		n := 0
		for _, r := range g.servers {
			if r.master == s && r.applied >= upTo {
				n++
			}
		}
		if n >= want || ms > 0 && time.Now().After(until) || s.ctx.Err() != nil {
			return integer(int64(n))
		}
		g.mu.Unlock()
		time.Sleep(pollInterval)
		g.mu.Lock()
	}
}
