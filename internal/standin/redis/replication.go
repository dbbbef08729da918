package redis

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"
)

// logTrimThreshold is the number of effects applied by all replicas above which the log is trimmed.
const logTrimThreshold = 1024

// effect is a replicated write: a command that the primary sends to its replicas.
type effect struct {
	at   time.Time
	db   int
	args []string
}

// Group is a primary and its replicas, which run in one process and share a mutex. Replicas apply an effect of the log
// once it is older than the replication lag. Effects that the new primary has not applied are lost at a failover.
type Group struct {
	mu          sync.Mutex // guards the fields below, and the servers' fields
	servers     []*Server
	primary     *Server
	log         []effect
	logOffset   int // replication offset of the log's first effect
	lag         time.Duration
	subscribers map[string][]*client // by channel
	sentinels   []*Server
	name        string // master name at the Sentinels
}

func newGroup() *Group { return &Group{subscribers: map[string][]*client{}, name: "mymaster"} }

// Group returns the replication group that the server belongs to.
func (s *Server) Group() *Group { return s.group }

// add starts a server, as the primary if master is nil, or else as a replica of master.
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

// listen creates a server and opens its listener. It does not accept connections yet.
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

// AddReplica starts a replica with a copy of the primary's current data.
func (g *Group) AddReplica(opt Options) (*Server, error) {
	g.mu.Lock()
	primary := g.primary
	g.mu.Unlock()
	return g.add(opt, primary)
}

// SetLag sets the replication lag: how long after a write the replicas apply it.
func (g *Group) SetLag(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lag = d
}

// Primary returns the current primary.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// copyFrom replaces the replica's data with a copy of the primary's (a full synchronization).
func (s *Server) copyFrom(master *Server) {
	s.dbs = map[int]database{}
	for n, db := range master.dbs {
		s.dbs[n] = database{}
		for k, e := range db {
			s.dbs[n][k] = cloneEntry(e)
		}
	}
	s.appliedOffset = s.group.logOffset + len(s.group.log)
}

// propagate appends an effect to the log if the server is the primary and there are other servers in the group.
func (s *Server) propagate(db int, now time.Time, args []string) {
	if s.group.primary == s && len(s.group.servers) > 1 {
		s.group.log = append(s.group.log, effect{now, db, slices.Clone(args)})
	}
}

// catchUp applies all effects older than the replication lag to the replicas, and trims the log.
func (g *Group) catchUp(now time.Time) {
	minApplied := g.logOffset + len(g.log)
	for _, r := range g.servers {
		if r.master == nil || r.stopped {
			continue
		}
		for r.appliedOffset < g.logOffset+len(g.log) {
			e := g.log[r.appliedOffset-g.logOffset]
			if now.Sub(e.at) < g.lag {
				break
			}
			r.applyEffect(e, now)
		}
		minApplied = min(minApplied, r.appliedOffset)
	}
	if n := minApplied - g.logOffset; n > logTrimThreshold {
		g.log, g.logOffset = slices.Clone(g.log[n:]), minApplied
	}
}

// applyEffect executes an effect on a replica.
func (s *Server) applyEffect(e effect, now time.Time) {
	x := &call{server: s, db: e.db, now: now, replicated: true}
	s.execute(x, e.args)
	s.appliedOffset++
}

// Failover promotes a replica to primary and returns the number of effects lost. With split (split brain), the old
// primary continues to accept writes, which are lost; otherwise it becomes a replica. Sentinels publish the change.
func (g *Group) Failover(to *Server, split bool) (lost int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := to.options.Now()
	g.catchUp(now)
	lost = g.logOffset + len(g.log) - to.appliedOffset
	old := g.primary
	g.log, g.logOffset = nil, g.logOffset+len(g.log)
	g.primary, to.master = to, nil
	for _, s := range g.servers {
		s.appliedOffset = g.logOffset
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
		return array(bulk("slave"), bulk(host), integer(int64(n)), bulk("connected"), integer(int64(s.appliedOffset)))
	}
	replicas := array()
	for _, r := range g.servers {
		if r.master == s {
			host, port, _ := net.SplitHostPort(r.addr)
			replicas.list = append(replicas.list, array(bulk(host), bulk(port), bulk(strconv.Itoa(r.appliedOffset))))
		}
	}
	return array(bulk("master"), integer(int64(g.logOffset+len(g.log))), replicas)
}

// cmdWait implements WAIT numreplicas timeout. It releases the group's mutex while it sleeps.
func cmdWait(x *call, a []string) value {
	want, err1 := strconv.Atoi(a[1])
	ms, err2 := strconv.Atoi(a[2])
	if err1 != nil || err2 != nil || ms < 0 {
		return errorReply(notIntegerMessage)
	}
	s, g := x.server, x.server.group
	if s.isReplica() {
		return errorReplyf("WAIT cannot be used with replica instances. " +
			"Please also note that writes to replicas are just local.")
	}
	targetOffset := g.logOffset + len(g.log)
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		g.catchUp(s.options.Now())
		n := 0
		for _, r := range g.servers {
			if r.master == s && r.appliedOffset >= targetOffset {
				n++
			}
		}
		if n >= want || ms > 0 && time.Now().After(deadline) || s.ctx.Err() != nil {
			return integer(int64(n))
		}
		g.mu.Unlock()
		time.Sleep(pollInterval)
		g.mu.Lock()
	}
}
