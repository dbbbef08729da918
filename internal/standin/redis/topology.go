package redis

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// effect is a write of the primary, as the replicas will play it.
type effect struct {
	at   time.Time
	db   int
	args []string
}

// Group is a primary and its replicas, in one process and under one lock. The log of effects reaches a replica after the
// lag; what it has not reached at a failover is lost.
type Group struct {
	mu          sync.Mutex
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

// Group is the server's own.
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

// Primary is the one that takes writes.
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

// catchUp plays on the replicas what has reached them by now.
func (g *Group) catchUp(now time.Time) {
	least := g.offset + len(g.log)
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
		least = min(least, r.applied)
	}
	if n := least - g.offset; n > 1024 {
		g.log, g.offset = slices.Clone(g.log[n:]), least
	}
}

func (s *Server) applyEffect(e effect, now time.Time) {
	x := &call{server: s, db: e.db, now: now, replicated: true}
	s.execute(x, e.args)
	s.applied++
}

// Failover makes the replica the primary and returns how many effects were lost. The old primary, if it lives, goes on
// as it was where split is set, taking writes that nobody will see; else it becomes a replica. Sentinels tell the news.
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

// --- channels, as far as Sentinel's clients listen ---

func (g *Group) publish(channel, text string) int {
	for _, c := range g.subscribers[channel] {
		b := value{kind: kindPush, list: []value{bulk("message"), bulk(channel), bulk(text)}}.append(nil, c.proto)
		select {
		case c.messages <- b:
		default: // it does not read: it is as well closed
			c.nc.Close()
		}
	}
	return len(g.subscribers[channel])
}

func (g *Group) unsubscribe(c *client) {
	for ch, list := range g.subscribers {
		g.subscribers[ch] = slices.DeleteFunc(list, func(o *client) bool { return o == c })
	}
	close(c.messages)
	c.messages = nil
}

// subscribe answers with a confirmation for each channel, in its place among the other answers. Messages follow on a
// goroutine of their own, which begins once the first confirmations are out.
func cmdSubscribe(x *call, a []string) value {
	c := x.client
	if c.messages == nil {
		c.messages = make(chan []byte, 64)
		c.unsentMessages = c.messages
	}
	out := value{kind: kindEach}
	for i, ch := range a[1:] {
		x.server.group.subscribers[ch] = append(x.server.group.subscribers[ch], c)
		out.list = append(out.list, value{kind: kindPush, list: []value{bulk(strings.ToLower(a[0])), bulk(ch), integer(int64(i + 1))}})
	}
	return out
}

func (c *client) sendMessages(messages <-chan []byte) {
	for b := range messages {
		if c.writeOut(b) != nil {
			c.nc.Close()
		}
	}
}

// --- ROLE, WAIT, Sentinel ---

func addTopology(t map[string]command) {
	add := func(name string, arity int, run func(*call, []string) value) {
		t[name] = command{arity: arity, noScript: true, run: run}
	}
	add("ROLE", 1, cmdRole)
	add("WAIT", 3, cmdWait)
	add("SUBSCRIBE", -2, cmdSubscribe)
	add("PUBLISH", 3, func(x *call, a []string) value { return integer(int64(x.server.group.publish(a[1], a[2]))) })
	add("SENTINEL", -2, cmdSentinel)
	add("ASKING", 1, func(x *call, _ []string) value {
		x.client.asking = true
		return okReply
	})
	add("READONLY", 1, func(*call, []string) value { return okReply })
	add("READWRITE", 1, func(*call, []string) value { return okReply })
	add("CLUSTER", -2, cmdCluster)
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

// wait: WAIT replicas ms. It holds the lock only to look.
func cmdWait(x *call, a []string) value {
	want, err1 := strconv.Atoi(a[1])
	ms, err2 := strconv.Atoi(a[2])
	if err1 != nil || err2 != nil || ms < 0 {
		return failure(notInteger)
	}
	s, g := x.server, x.server.group
	if s.isReplica() {
		return errorf("WAIT cannot be used with replica instances. Please also note that writes to replicas are just local.")
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

// AddSentinel starts a Sentinel that tells the primary's address, by the name that is returned with it.
func (g *Group) AddSentinel(opt Options) (s *Server, name string, err error) {
	if s, err = g.listen(opt); err != nil {
		return nil, "", err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.sentinel = true
	g.sentinels = append(g.sentinels, s)
	s.serveOn(s.ln)
	return s, g.name, nil
}

func isSentinelCommand(name string) bool {
	return slices.Contains([]string{
		"SENTINEL", "PING", "HELLO", "AUTH", "CLIENT", "INFO", "ROLE", "SUBSCRIBE", "PUBLISH",
		"COMMAND", "QUIT", "RESET",
	}, name)
}

func cmdSentinel(x *call, a []string) value {
	g := x.server.group
	if !x.server.sentinel {
		return errorf("unknown command 'SENTINEL', with args beginning with: ")
	}
	if len(a) < 3 {
		return errorf("wrong number of arguments for 'sentinel' command")
	}
	describe := func(o *Server, flags string) value {
		host, port, _ := net.SplitHostPort(o.addr)
		return mapping(bulk("name"), bulk(g.name), bulk("ip"), bulk(host), bulk("port"), bulk(port), bulk("runid"), bulk(o.id),
			bulk("flags"), bulk(flags), bulk("link-refcount"), bulk("1"))
	}
	sub := strings.ToUpper(a[1])
	if a[2] != g.name {
		if sub == "GET-MASTER-ADDR-BY-NAME" {
			return value{kind: kindNullArray}
		}
		return errorf("No such master with that name")
	}
	out := array()
	switch sub {
	case "GET-MASTER-ADDR-BY-NAME":
		host, port, _ := net.SplitHostPort(g.primary.addr)
		return array(bulk(host), bulk(port))
	case "MASTER":
		return describe(g.primary, "master")
	case "REPLICAS", "SLAVES":
		for _, r := range g.servers {
			if r.master != nil {
				out.list = append(out.list, describe(r, "slave"))
			}
		}
		return out
	case "SENTINELS":
		for _, o := range g.sentinels {
			if o != x.server {
				out.list = append(out.list, describe(o, "sentinel"))
			}
		}
		return out
	}
	return errorf("Unknown sentinel subcommand '%s'", a[1])
}

// --- cluster ---

const slotCount = 16384

// Cluster is shards that hold the slots between them.
type Cluster struct {
	mu        sync.Mutex // of owners and asking
	shards    []*Server
	owner     [slotCount]*Server
	migrating map[int]*Server // where a slot is on its way to: its owner answers ASK for keys that it lacks
}

// StartCluster starts so many shards, each with an even part of the slots.
func StartCluster(opt Options, shards int) (*Cluster, error) {
	c := &Cluster{migrating: map[int]*Server{}}
	for range shards {
		s, err := Start(opt)
		if err != nil {
			c.Close()
			return nil, err
		}
		s.update(func() { s.cluster = c })
		c.shards = append(c.shards, s)
	}
	for i := range c.owner {
		c.owner[i] = c.shards[i*shards/slotCount]
	}
	return c, nil
}

// Close ends all shards.
func (c *Cluster) Close() {
	for _, s := range c.shards {
		s.Close()
	}
}

// Shards are the servers, in the order of their slots.
func (c *Cluster) Shards() []*Server { return slices.Clone(c.shards) }

// Assign gives a slot to a shard at once; keys stay where they are.
func (c *Cluster) Assign(slot int, to *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner[slot] = to
	delete(c.migrating, slot)
}

// Migrate begins to move a slot: for keys that its owner lacks it answers ASK.
func (c *Cluster) Migrate(slot int, to *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.migrating[slot] = to
}

// Slot is the cluster's hash of a key: CRC16 of the part in the first braces, if any, else of all of it.
func Slot(key string) int {
	if i := strings.IndexByte(key, '{'); i >= 0 {
		if j := strings.IndexByte(key[i+1:], '}'); j > 0 {
			key = key[i+1 : i+1+j]
		}
	}
	crc := uint16(0)
	for i := range len(key) {
		crc ^= uint16(key[i]) << 8
		for range 8 {
			if crc&0x8000 != 0 {
				crc = crc<<1 ^ 0x1021
			} else {
				crc <<= 1
			}
		}
	}
	return int(crc) % slotCount
}

// keysOf lists the keys of a command.
func keysOf(name string, cmd command, args []string) []string {
	if name == "EVAL" || name == "EVALSHA" {
		if len(args) < 3 {
			return nil
		}
		n, _ := strconv.Atoi(args[2])
		return args[3:max(3, min(len(args), 3+n))]
	}
	if cmd.keys[0] == 0 {
		return nil
	}
	last := cmd.keys[1]
	if last < 0 {
		last += len(args)
	}
	var keys []string
	for i := cmd.keys[0]; i <= last && i < len(args); i += cmd.keys[2] {
		keys = append(keys, args[i])
	}
	return keys
}

func (c *Cluster) check(s *Server, x *call, name string, cmd command, args []string) value {
	keys := keysOf(name, cmd, args)
	if len(keys) == 0 || x.inScript {
		return value{}
	}
	slot := Slot(keys[0])
	for _, k := range keys[1:] {
		if Slot(k) != slot {
			return failure("CROSSSLOT Keys in request don't hash to the same slot")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	owner, next := c.owner[slot], c.migrating[slot]
	switch {
	case owner == nil:
		return failure("CLUSTERDOWN Hash slot not served")
	case owner == s && next != nil && next != s && x.get(keys[0]) == nil:
		return failure(fmt.Sprintf("ASK %d %s", slot, next.addr))
	case owner != s && !(next == s && x.client != nil && x.client.asking):
		return failure(fmt.Sprintf("MOVED %d %s", slot, owner.addr))
	}
	return value{}
}

func cmdCluster(x *call, a []string) value {
	c := x.server.cluster
	if c == nil {
		return errorf("This instance has cluster support disabled")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch sub := strings.ToUpper(a[1]); {
	case sub == "KEYSLOT" && len(a) == 3:
		return integer(int64(Slot(a[2])))
	case sub == "MYID":
		return bulk(x.server.id)
	case sub == "INFO":
		return bulk(fmt.Sprintf("cluster_enabled:1\r\ncluster_state:ok\r\ncluster_slots_assigned:%d\r\ncluster_known_nodes:%d\r\n",
			slotCount, len(c.shards)))
	case sub == "SLOTS":
		out := array()
		c.ranges(func(from, to int, s *Server) {
			host, port, _ := net.SplitHostPort(s.addr)
			n, _ := strconv.Atoi(port)
			out.list = append(out.list, array(integer(int64(from)), integer(int64(to)),
				array(bulk(host), integer(int64(n)), bulk(s.id), array())))
		})
		return out
	case sub == "SHARDS":
		out := array()
		for _, s := range c.shards {
			host, port, _ := net.SplitHostPort(s.addr)
			n, _ := strconv.Atoi(port)
			own := array()
			c.ranges(func(from, to int, o *Server) {
				if o == s {
					own.list = append(own.list, integer(int64(from)), integer(int64(to)))
				}
			})
			out.list = append(out.list, mapping(bulk("slots"), own, bulk("nodes"), array(mapping(bulk("id"), bulk(s.id),
				bulk("port"), integer(int64(n)), bulk("ip"), bulk(host), bulk("endpoint"), bulk(host), bulk("role"), bulk("master"),
				bulk("replication-offset"), integer(0), bulk("health"), bulk("online")))))
		}
		return out
	}
	return errorf("unknown subcommand '%s'", a[1])
}

func (c *Cluster) ranges(report func(from, to int, s *Server)) {
	for from := 0; from < slotCount; {
		to := from
		for to+1 < slotCount && c.owner[to+1] == c.owner[from] {
			to++
		}
		if c.owner[from] != nil {
			report(from, to, c.owner[from])
		}
		from = to + 1
	}
}
