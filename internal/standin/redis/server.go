// Package redis is a stand-in for Redis, written from its public protocol: RESP2 and RESP3 over real sockets, keys with
// a life, transactions, Lua scripts, asynchronous replication with failover, Sentinel's queries and a cluster's slots.
// It keeps what clients need to be proved against it and no more, in memory, in one process. A fault script says what
// goes wrong; the observer records what came and when.
package redis

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
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
	Now        func() time.Time                // of keys' lives; nil: the system's clock
	Wrap       func(net.Listener) net.Listener // TLS, say; nil: none
}

// Record is one command as the server saw it.
type Record struct {
	At      time.Duration // since the server's start
	Conn    int64
	Caller  string // the name that the client gave its connection
	Args    []string
	Applied bool   // it ran
	Reply   string // as written in RESP2; empty where none was
	Fault   fault.Kind
}

// Server is one process of Redis: a primary, a replica, a Sentinel or a shard of a cluster.
type Server struct {
	options  Options
	group    *Group
	commands map[string]command
	faults   *fault.Script
	start    time.Time
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	// Below, all under group.mu.
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

// Addr is where the server listens.
func (s *Server) Addr() string { return s.addr }

// Since is the time on the server's own clock, that of its records.
func (s *Server) Since() time.Duration { return time.Since(s.start) }

// Faults is the script of what goes wrong with commands, by their names and the names that clients give themselves.
func (s *Server) Faults() *fault.Script { return s.faults }

// Fault puts a rule in force from now on.
func (s *Server) Fault(r fault.Rule) { s.faults.Add(s.Since(), r) }

// Records returns what came so far.
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

// Close ends the server and all of its goroutines.
func (s *Server) Close() {
	s.stop()
	s.group.mu.Lock()
	s.down = true
	if s.ln != nil {
		s.ln.Close()
	}
	s.dropClients()
	s.group.mu.Unlock()
	s.wg.Wait()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.scripts.interpreter != nil {
		s.scripts.interpreter.Close()
		s.scripts.interpreter = nil
	}
}

func (s *Server) dropClients() {
	for c := range s.clients {
		reset(c.nc)
	}
}

// reset ends a connection as a killed process would.
func reset(nc net.Conn) {
	if t, ok := nc.(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0)
	}
	nc.Close()
}

// Restart ends all connections and starts again with nothing: no keys, no scripts. It takes connections after pause.
func (s *Server) Restart(pause time.Duration) {
	s.Stop()
	s.group.mu.Lock()
	clear(s.dbs)
	s.scripts.flush()
	s.group.log, s.group.offset = nil, s.group.offset+len(s.group.log)
	for _, o := range s.group.servers {
		o.applied = s.group.offset
	}
	s.group.mu.Unlock()
	if pause <= 0 {
		s.Listen()
		return
	}
	s.wg.Go(func() {
		if s.sleep(pause) {
			s.Listen()
		}
	})
}

// Stop ends all connections and refuses new ones until Listen. The keys stay.
func (s *Server) Stop() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down = true
	if s.ln != nil {
		s.ln.Close()
	}
	s.dropClients()
}

// Listen takes connections again after Stop, at the same address.
func (s *Server) Listen() error {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if !s.down || s.ctx.Err() != nil {
		return nil
	}
	ln, err := listenAgain(s.ctx, s.addr)
	if err != nil {
		return err
	}
	s.serveOn(ln)
	return nil
}

// listenAgain waits for the port, which the old listener may hold for a moment more.
func listenAgain(ctx context.Context, addr string) (ln net.Listener, err error) {
	for range 100 {
		if ln, err = net.Listen("tcp", addr); err == nil || ctx.Err() != nil {
			return ln, err
		}
		time.Sleep(time.Millisecond)
	}
	return nil, fmt.Errorf("listening again: %w", err)
}

func (s *Server) serveOn(ln net.Listener) {
	if s.options.Wrap != nil {
		ln = s.options.Wrap(ln)
	}
	s.ln, s.down = ln, false
	s.wg.Go(func() { s.accept(ln) })
}

// set changes a switch of the server.
func (s *Server) update(change func()) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	change()
}

// Load answers LOADING for a while.
func (s *Server) Load(d time.Duration) { s.update(func() { s.loading = time.Now().Add(d) }) }

// Silent makes the server accept and never answer, or ends that.
func (s *Server) Silent(on bool) { s.update(func() { s.silent = on }) }

// Full makes it answer writes with OOM, or ends that.
func (s *Server) Full(on bool) { s.update(func() { s.full = on }) }

// ReadOnly makes it answer writes with READONLY, or ends that.
func (s *Server) ReadOnly(on bool) { s.update(func() { s.readonly = on }) }

// MaxClients sets how many connections it holds; further ones are answered with an error and closed.
func (s *Server) MaxClients(n int) { s.update(func() { s.options.MaxClients = n }) }

// ForgetScripts empties the cache of scripts.
func (s *Server) ForgetScripts() { s.update(func() { s.scripts.flush() }) }

// Kick ends all connections.
func (s *Server) Kick() { s.update(s.dropClients) }

// sleep waits, and reports false where the server ended first.
func (s *Server) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// client is one connection.
type client struct {
	server  *Server
	nc      net.Conn
	id      int64
	proto   int
	db      int
	name    string
	authed  bool
	asking  bool
	out     []byte
	swapped []byte // an answer that comes after the next one

	inTransaction  bool
	aborted        bool // a command of the transaction was wrong
	queue          [][]string
	watched        map[string]*entry // as they were
	dirty          bool
	messages       chan []byte   // messages of channels that it listens to; nil: none
	unsentMessages <-chan []byte // the same, until someone sends them
	writeMu        sync.Mutex
}

func (s *Server) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		if s.down || s.ctx.Err() != nil || s.acceptFilter != nil && !s.acceptFilter(nc) {
			s.group.mu.Unlock()
			reset(nc)
			continue
		}
		if len(s.clients) >= s.options.MaxClients {
			s.group.mu.Unlock()
			s.wg.Go(func() { rejectConn(nc) })
			continue
		}
		s.lastConnID++
		c := &client{server: s, nc: nc, id: s.lastConnID, proto: 2, authed: s.options.Password == ""}
		s.clients[c] = true
		s.wg.Go(c.serve)
		s.group.mu.Unlock()
	}
}

// turnAway says why, and waits a moment for the client to read it: a close with commands unread would reset the
// connection and take the reason with it.
func rejectConn(nc net.Conn) {
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(lingerTimeout))
	io.WriteString(nc, "-ERR max number of clients reached\r\n")
	if t, ok := nc.(interface{ CloseWrite() error }); ok {
		t.CloseWrite()
	}
	io.CopyN(io.Discard, nc, maxInlineLength)
}

// serve reads commands and answers them in order until the connection ends.
func (c *client) serve() {
	defer func() {
		c.nc.Close()
		c.server.group.mu.Lock()
		delete(c.server.clients, c)
		if c.messages != nil {
			c.server.group.unsubscribe(c)
		}
		c.server.group.mu.Unlock()
	}()
	in := bufio.NewReaderSize(c.nc, 16<<10)
	for {
		if d := c.server.options.Idle; d > 0 && c.messages == nil {
			c.nc.SetReadDeadline(time.Now().Add(d))
		}
		args, err := readCommand(in)
		var bad protoError
		if errors.As(err, &bad) {
			c.out = failure("ERR "+bad.Error()).append(c.out, c.proto)
			c.flush()
			return
		}
		if err != nil {
			return
		}
		if len(args) > 0 && !c.handle(args) {
			c.flush() // after QUIT
			return
		}
		if in.Buffered() == 0 || len(c.out) > flushThreshold {
			if !c.flush() {
				return
			}
		}
	}
}

func (c *client) flush() bool {
	if len(c.out) == 0 {
		return true
	}
	err := c.writeOut(c.out)
	c.out = c.out[:0]
	if c.unsentMessages != nil {
		messages := c.unsentMessages
		c.unsentMessages = nil
		c.server.wg.Go(func() { c.sendMessages(messages) })
	}
	return err == nil
}

// send writes answers or a message, never both at once.
func (c *client) writeOut(b []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write(b)
	return err
}

// handle runs one command by the fault script; it reports whether the connection goes on.
func (c *client) handle(args []string) bool {
	s := c.server
	name := strings.ToUpper(args[0])
	for {
		s.group.mu.Lock()
		silent := s.silent
		s.group.mu.Unlock()
		if !silent {
			break
		}
		if !s.sleep(pollInterval) {
			return false
		}
	}
	r, left, hit := s.faults.Next(s.Since(), name, c.name)
	rec := Record{At: s.Since(), Conn: c.id, Caller: c.name, Args: args}
	if hit {
		rec.Fault = r.Kind
	}
	run := func() []byte {
		v := c.run(name, args)
		rec.Applied = true
		return v.append(nil, c.proto)
	}
	write := func(b []byte) {
		rec.Reply = string(b)
		c.out = append(c.out, b...)
		c.out = append(c.out, c.swapped...)
		c.swapped = nil
	}
	ok := true
	switch r.Kind {
	case fault.Delay, fault.Stall:
		c.flush()
		wait := r.By
		if r.Kind == fault.Stall {
			wait = left
		}
		if !s.sleep(wait) {
			return false
		}
		write(run())
	case fault.Hold:
		c.flush()
		b := run()
		if !s.sleep(r.By) {
			return false
		}
		write(b)
	case fault.Ignore:
	case fault.Swallow:
		run()
	case fault.Late:
		at := client{server: s, nc: c.nc, id: c.id, proto: c.proto, db: c.db, name: c.name, authed: c.authed} // it may be closed by then
		s.wg.Go(func() {
			if s.sleep(r.By) {
				at.run(name, args)
				rec.Applied, rec.At = true, s.Since()
				s.addRecord(rec)
			}
		})
		return true
	case fault.DropBefore:
		c.flush()
		reset(c.nc)
		ok = false
	case fault.DropAfter:
		run()
		c.flush()
		c.nc.Close() // what was answered before arrives
		ok = false
	case fault.Repeat:
		b := run()
		write(b)
		c.out = append(c.out, b...)
	case fault.Swap:
		b := run()
		rec.Reply = string(b)
		c.swapped = b
	case fault.Cut:
		b := run()
		write(b[:len(b)/2])
		c.flush()
		ok = false
	case fault.Fail:
		write(failure(r.Text).append(nil, c.proto))
	default:
		write(run())
	}
	s.addRecord(rec)
	return ok && name != "QUIT"
}

func (s *Server) addRecord(r Record) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if len(s.records) < maxRecords {
		s.records = append(s.records, r)
	}
}

// run executes a client's command, or queues it in its transaction.
func (c *client) run(name string, args []string) value {
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if v, done := c.transaction(name, args); done {
		return v
	}
	x := &call{server: s, client: c, db: c.db, now: s.options.Now()}
	s.group.catchUp(x.now)
	v := s.execute(x, args)
	c.db = x.db
	if name != "ASKING" {
		c.asking = false
	}
	return v
}

// transaction handles MULTI and its kin; done says that the command was one of them, or was queued.
func (c *client) transaction(name string, args []string) (v value, done bool) {
	switch name {
	case "MULTI":
		if c.inTransaction {
			return errorf("MULTI calls can not be nested"), true
		}
		c.inTransaction, c.aborted, c.queue = true, false, nil
		return okReply, true
	case "DISCARD":
		if !c.inTransaction {
			return errorf("DISCARD without MULTI"), true
		}
		c.endTransaction()
		return okReply, true
	case "WATCH":
		if c.inTransaction {
			return errorf("WATCH inside MULTI is not allowed"), true
		}
		x := &call{server: c.server, client: c, db: c.db, now: c.server.options.Now()}
		if c.watched == nil {
			c.watched = map[string]*entry{}
		}
		for _, k := range args[1:] {
			c.watched[k] = cloneEntry(x.get(k))
		}
		return okReply, true
	case "UNWATCH":
		c.watched = nil
		return okReply, true
	case "EXEC":
		if !c.inTransaction {
			return errorf("EXEC without MULTI"), true
		}
		queue, spoilt, watched := c.queue, c.aborted, c.watched
		c.endTransaction()
		if spoilt {
			return failure("EXECABORT Transaction discarded because of previous errors."), true
		}
		x := &call{server: c.server, client: c, db: c.db, now: c.server.options.Now()}
		c.server.group.catchUp(x.now)
		for k, was := range watched {
			if !equalEntries(was, x.get(k)) {
				return value{kind: kindNullArray}, true
			}
		}
		out := array()
		for _, a := range queue {
			out.list = append(out.list, c.server.execute(x, a))
		}
		c.db = x.db
		return out, true
	}
	if !c.inTransaction || name == "QUIT" || name == "RESET" {
		return value{}, false
	}
	x := &call{server: c.server, client: c, db: c.db, now: c.server.options.Now()}
	if v := c.server.check(x, name, args); v.kind != kindNone {
		c.aborted = true
		return v, true
	}
	if len(c.queue) >= maxQueuedCommands {
		c.aborted = true
		return errorf("too many commands in a transaction"), true
	}
	c.queue = append(c.queue, args)
	return status("QUEUED"), true
}

func (c *client) endTransaction() {
	c.inTransaction, c.aborted, c.queue, c.watched = false, false, nil, nil
}

func cloneEntry(e *entry) *entry {
	if e == nil {
		return nil
	}
	out := *e
	if e.hash != nil {
		out.hash = map[string]string{}
		for k, v := range e.hash {
			out.hash[k] = v
		}
	}
	return &out
}

func equalEntries(a, b *entry) bool {
	if a == nil || b == nil {
		return a == b
	}
	if a.str != b.str || len(a.hash) != len(b.hash) || (a.hash == nil) != (b.hash == nil) {
		return false
	}
	for k, v := range a.hash {
		if w, ok := b.hash[k]; !ok || v != w {
			return false
		}
	}
	return true
}

// whileLoading are the commands that are answered in every state.
var allowedWhileLoading = []string{"HELLO", "AUTH", "CLIENT", "INFO", "ROLE", "COMMAND", "QUIT", "RESET", "SELECT", "CONFIG"}

// refuses says why a command is not run, or nothing.
func (s *Server) check(x *call, name string, args []string) value {
	cmd, known := s.commands[name]
	switch {
	case !known:
		var list strings.Builder
		for _, a := range args[1:] {
			fmt.Fprintf(&list, "'%.128s' ", a)
		}
		return errorf("unknown command '%.128s', with args beginning with: %s", args[0], list.String())
	case cmd.arity > 0 && len(args) != cmd.arity || len(args) < -cmd.arity:
		return errorf("wrong number of arguments for '%s' command", strings.ToLower(name))
	case x.inScript && cmd.noScript:
		return errorf("This Redis command is not allowed from script")
	case x.replicated:
		return value{}
	case x.client != nil && !x.client.authed && name != "AUTH" && name != "HELLO" && name != "QUIT" && name != "RESET":
		return failure("NOAUTH Authentication required.")
	case s.sentinel && !isSentinelCommand(name):
		return errorf("unknown command '%.128s', with args beginning with: ", args[0])
	case time.Now().Before(s.loading) && !slices.Contains(allowedWhileLoading, name):
		return failure("LOADING Redis is loading the dataset in memory")
	case cmd.write && s.full:
		return failure("OOM command not allowed when used memory > 'maxmemory'.")
	case cmd.write && (s.isReplica() || s.readonly):
		return failure("READONLY You can't write against a read only replica.")
	}
	if s.cluster != nil {
		return s.cluster.check(s, x, name, cmd, args)
	}
	return value{}
}

// execute runs a command; the group is locked.
func (s *Server) execute(x *call, args []string) value {
	name := strings.ToUpper(args[0])
	if v := s.check(x, name, args); v.kind != kindNone {
		return v
	}
	return s.commands[name].run(x, args)
}

// --- commands of the connection ---

func addConnection(t map[string]command) {
	add := func(name string, arity int, run func(*call, []string) value) {
		t[name] = command{arity: arity, noScript: true, run: run}
	}
	add("PING", -1, func(x *call, a []string) value {
		switch {
		case x.client != nil && x.client.messages != nil && x.client.proto < 3:
			return array(bulk("pong"), bulk(strings.Join(a[1:], "")))
		case len(a) > 1:
			return bulk(a[1])
		}
		return status("PONG")
	})
	add("ECHO", 2, func(_ *call, a []string) value { return bulk(a[1]) })
	add("QUIT", -1, func(*call, []string) value { return okReply })
	add("RESET", 1, func(x *call, _ []string) value {
		x.client.endTransaction()
		x.client.name, x.client.proto, x.db, x.client.authed = "", 2, 0, x.server.options.Password == ""
		return status("RESET")
	})
	add("SELECT", 2, func(x *call, a []string) value {
		n, err := strconv.Atoi(a[1])
		switch {
		case err != nil:
			return failure(notInteger)
		case n < 0 || n >= maxDatabases:
			return errorf("DB index is out of range")
		case x.server.cluster != nil && n > 0:
			return errorf("SELECT is not allowed in cluster mode")
		}
		x.db = n
		return okReply
	})
	add("AUTH", -2, func(x *call, a []string) value {
		switch len(a) {
		case 2:
			return x.auth("default", a[1])
		case 3:
			return x.auth(a[1], a[2])
		}
		return failure("ERR syntax error")
	})
	add("HELLO", -1, cmdHello)
	add("CLIENT", -2, cmdClient)
	add("COMMAND", -1, cmdCommand)
	add("CONFIG", -2, func(x *call, a []string) value {
		if strings.EqualFold(a[1], "GET") && len(a) == 3 && strings.EqualFold(a[2], "maxclients") {
			return mapping(bulk("maxclients"), bulk(strconv.Itoa(x.server.options.MaxClients)))
		}
		if strings.EqualFold(a[1], "GET") {
			return mapping()
		}
		return errorf("unknown subcommand or wrong number of arguments for '%s'", a[1])
	})
	add("INFO", -1, cmdInfo)
	for _, name := range []string{"MULTI", "EXEC", "DISCARD", "WATCH", "UNWATCH"} { // transaction answers them
		arity := 1
		if name == "WATCH" {
			arity = -2
		}
		add(name, arity, func(*call, []string) value { return okReply })
	}
}

func (x *call) auth(user, password string) value {
	want := x.server.options
	switch {
	case want.Password == "":
		return errorf("AUTH <password> called without any password configured for the default user. Are you sure your configuration is correct?")
	case password != want.Password || user != want.User:
		return failure("WRONGPASS invalid username-password pair or user is disabled.")
	}
	x.client.authed = true
	return okReply
}

// hello: HELLO [version [AUTH user password] [SETNAME name]].
func cmdHello(x *call, a []string) value {
	proto := x.client.proto
	if len(a) > 1 {
		n, err := strconv.Atoi(a[1])
		switch {
		case err != nil:
			return errorf("Protocol version is not an integer or out of range")
		case n != 2 && n != 3:
			return failure("NOPROTO unsupported protocol version")
		}
		proto = n
	}
	name := x.client.name
	for i := 2; i < len(a); i++ {
		switch opt := strings.ToUpper(a[i]); {
		case opt == "AUTH" && i+2 < len(a):
			if v := x.auth(a[i+1], a[i+2]); v.kind == kindError {
				return v
			}
			i += 2
		case opt == "SETNAME" && i+1 < len(a):
			i++
			name = a[i]
		default:
			return errorf("Syntax error in HELLO option '%s'", a[i])
		}
	}
	if !x.client.authed {
		return failure("NOAUTH HELLO must be called with the client already authenticated, otherwise the " +
			"HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the RESP " +
			"protocol version at the same time")
	}
	x.client.proto, x.client.name = proto, name
	mode := "standalone"
	switch {
	case x.server.sentinel:
		mode = "sentinel"
	case x.server.cluster != nil:
		mode = "cluster"
	}
	return mapping(bulk("server"), bulk("redis"), bulk("version"), bulk(serverVersion), bulk("proto"), integer(int64(proto)),
		bulk("id"), integer(x.client.id), bulk("mode"), bulk(mode), bulk("role"), bulk(x.server.roleName()), bulk("modules"), array())
}

func cmdClient(x *call, a []string) value {
	switch sub := strings.ToUpper(a[1]); {
	case sub == "ID" && len(a) == 2:
		return integer(x.client.id)
	case sub == "GETNAME" && len(a) == 2:
		if x.client.name == "" {
			return null
		}
		return bulk(x.client.name)
	case sub == "SETNAME" && len(a) == 3:
		if strings.ContainsAny(a[2], " \n\r") {
			return errorf("Client names cannot contain spaces, newlines or special characters.")
		}
		x.client.name = a[2]
		return okReply
	case sub == "SETINFO" && len(a) == 4:
		if opt := strings.ToUpper(a[2]); opt != "LIB-NAME" && opt != "LIB-VER" {
			return errorf("Unrecognized option '%s'", a[2])
		}
		return okReply
	case sub == "INFO" || sub == "LIST":
		return bulk(fmt.Sprintf("id=%d addr=%s name=%s db=%d resp=%d\n", x.client.id, x.client.nc.RemoteAddr(), x.client.name, x.db, x.client.proto))
	case sub == "NO-EVICT" || sub == "NO-TOUCH":
		return okReply
	}
	return errorf("unknown subcommand or wrong number of arguments for '%s'. Try CLIENT HELP.", a[1])
}

func cmdCommand(x *call, a []string) value {
	switch {
	case len(a) == 1:
		out := array()
		for name, c := range x.server.commands {
			flag := "readonly"
			if c.write {
				flag = "write"
			}
			out.list = append(out.list, array(bulk(strings.ToLower(name)), integer(int64(c.arity)), array(status(flag)),
				integer(int64(c.keys[0])), integer(int64(c.keys[1])), integer(int64(c.keys[2]))))
		}
		return out
	case strings.EqualFold(a[1], "COUNT"):
		return integer(int64(len(x.server.commands)))
	case strings.EqualFold(a[1], "DOCS"):
		return mapping()
	}
	return errorf("unknown subcommand '%s'", a[1])
}

func cmdInfo(x *call, _ []string) value {
	s := x.server
	var b strings.Builder
	fmt.Fprintf(&b, "# Server\r\nredis_version:%s\r\ntcp_port:%s\r\n", serverVersion, s.addr[strings.LastIndexByte(s.addr, ':')+1:])
	fmt.Fprintf(&b, "# Clients\r\nconnected_clients:%d\r\nmaxclients:%d\r\n", len(s.clients), s.options.MaxClients)
	fmt.Fprintf(&b, "# Persistence\r\nloading:%d\r\n", map[bool]int{true: 1}[time.Now().Before(s.loading)])
	fmt.Fprintf(&b, "# Replication\r\nrole:%s\r\n", s.roleName())
	if s.master != nil {
		host, port, _ := net.SplitHostPort(s.master.addr)
		fmt.Fprintf(&b, "master_host:%s\r\nmaster_port:%s\r\nmaster_link_status:up\r\n", host, port)
	}
	fmt.Fprintf(&b, "# Keyspace\r\n")
	for n, db := range s.dbs {
		if len(db) > 0 {
			fmt.Fprintf(&b, "db%d:keys=%d\r\n", n, len(db))
		}
	}
	return bulk(b.String())
}

// HashField returns a field of a hash, for an observer that asks no client.
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

// Flush forgets all keys and keeps the connections, as a failover behind a proxy would.
func (s *Server) Flush() { s.update(func() { clear(s.dbs) }) }

// NextConnections asks take of each new connection whether it is served; one that is not is reset. nil serves all.
func (s *Server) NextConnections(take func(net.Conn) bool) {
	s.update(func() { s.acceptFilter = take })
}
