package redis

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// allowedWhileLoading lists the commands that are not answered with LOADING.
var allowedWhileLoading = []string{
	"HELLO", "AUTH", "CLIENT", "INFO", "ROLE", "COMMAND", "QUIT", "RESET", "SELECT", "CONFIG",
}

// validate returns the error reply for a command that must be rejected, or the zero value if it may run.
func (s *Server) validate(x *call, name string, args []string) value {
	cmd, known := s.commands[name]
	switch {
	case !known:
		var list strings.Builder
		for _, a := range args[1:] {
			fmt.Fprintf(&list, "'%.128s' ", a)
		}
		return errorReplyf("unknown command '%.128s', with args beginning with: %s", args[0], list.String())
	case cmd.arity > 0 && len(args) != cmd.arity || len(args) < -cmd.arity:
		return errorReplyf("wrong number of arguments for '%s' command", strings.ToLower(name))
	case x.inScript && cmd.noScript:
		return errorReplyf("This Redis command is not allowed from script")
	case x.replicated:
		return value{}
	case x.client != nil && !x.client.authed && name != "AUTH" && name != "HELLO" && name != "QUIT" && name != "RESET":
		return errorReply("NOAUTH Authentication required.")
	case s.sentinel && !isSentinelCommand(name):
		return errorReplyf("unknown command '%.128s', with args beginning with: ", args[0])
	case time.Now().Before(s.loadingUntil) && !slices.Contains(allowedWhileLoading, name):
		return errorReply("LOADING Redis is loading the dataset in memory")
	case cmd.write && s.outOfMemory:
		return errorReply("OOM command not allowed when used memory > 'maxmemory'.")
	case cmd.write && (s.isReplica() || s.readOnly):
		return errorReply("READONLY You can't write against a read only replica.")
	}
	if s.cluster != nil {
		return s.cluster.validate(s, x, name, cmd, args)
	}
	return value{}
}

// execute checks and runs a command. The caller must hold group.mu.
func (s *Server) execute(x *call, args []string) value {
	name := strings.ToUpper(args[0])
	if v := s.validate(x, name, args); v.kind != kindNone {
		return v
	}
	return s.commands[name].run(x, args)
}

// call is the context of one command execution, on behalf of a client, a script, a transaction or replication.
type call struct {
	server     *Server
	client     *client // nil if not run for a client
	db         int
	now        time.Time
	inScript   bool
	replicated bool // an effect received from the primary: runs without state checks and isn't propagated
}

// propagate appends an effect to the replication log. The command must have the same result whenever a replica applies
// it, so expiry times are absolute.
func (x *call) propagate(args ...string) {
	if !x.replicated {
		x.server.propagate(x.db, x.now, args)
	}
}

// unixMilli formats a time in milliseconds, as PXAT and PEXPIREAT expect it.
func unixMilli(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }

// command is an entry of the command table.
type command struct {
	arity    int // number of arguments including the command name; negative: the minimum number
	write    bool
	noScript bool
	keys     [3]int // positions of the keys: first, last, step; first is 0 if there are none
	run      func(*call, []string) value
}

// newCommandTable returns all commands by upper-case name. The table is read-only afterwards.
func newCommandTable() map[string]command {
	one := [3]int{1, 1, 1}
	all := [3]int{1, -1, 1}
	t := map[string]command{
		"GET":          {2, false, false, one, cmdGet},
		"SET":          {-3, true, false, one, cmdSet},
		"SETEX":        {4, true, false, one, cmdSetEX("EX")},
		"PSETEX":       {4, true, false, one, cmdSetEX("PX")},
		"SETNX":        {3, true, false, one, cmdSetNX},
		"MGET":         {-2, false, false, all, cmdMGet},
		"INCR":         {2, true, false, one, func(x *call, a []string) value { return incr(x, a[1], 1) }},
		"DECR":         {2, true, false, one, func(x *call, a []string) value { return incr(x, a[1], -1) }},
		"INCRBY":       {3, true, false, one, func(x *call, a []string) value { return incrBy(x, a, 1) }},
		"DECRBY":       {3, true, false, one, func(x *call, a []string) value { return incrBy(x, a, -1) }},
		"INCRBYFLOAT":  {3, true, false, one, cmdIncrByFloat},
		"STRLEN":       {2, false, false, one, cmdStrlen},
		"DEL":          {-2, true, false, all, cmdDel},
		"UNLINK":       {-2, true, false, all, cmdDel},
		"EXISTS":       {-2, false, false, all, cmdExists},
		"TYPE":         {2, false, false, one, cmdType},
		"EXPIRE":       {-3, true, false, one, cmdExpire(time.Second, false)},
		"PEXPIRE":      {-3, true, false, one, cmdExpire(time.Millisecond, false)},
		"EXPIREAT":     {-3, true, false, one, cmdExpire(time.Second, true)},
		"PEXPIREAT":    {-3, true, false, one, cmdExpire(time.Millisecond, true)},
		"PERSIST":      {2, true, false, one, cmdPersist},
		"TTL":          {2, false, false, one, cmdTTL(time.Second)},
		"PTTL":         {2, false, false, one, cmdTTL(time.Millisecond)},
		"HSET":         {-4, true, false, one, cmdHSet},
		"HGET":         {3, false, false, one, cmdHGet},
		"HMGET":        {-3, false, false, one, cmdHMGet},
		"HGETALL":      {2, false, false, one, cmdHGetAll},
		"HDEL":         {-3, true, false, one, cmdHDel},
		"HLEN":         {2, false, false, one, cmdHLen},
		"HINCRBY":      {4, true, false, one, cmdHIncrBy},
		"HINCRBYFLOAT": {4, true, false, one, cmdHIncrByFloat},
		"DBSIZE":       {1, false, false, [3]int{}, cmdDBSize},
		"FLUSHALL":     {-1, true, false, [3]int{}, cmdFlushAll},
		"FLUSHDB":      {-1, true, false, [3]int{}, cmdFlushDB},
		"KEYS":         {2, false, false, [3]int{}, cmdKeys},
		"TIME":         {1, false, false, [3]int{}, cmdTime},
	}
	addConnectionCommands(t)
	addScriptCommands(t)
	addTopologyCommands(t)
	return t
}

// addTopologyCommands adds the replication, Pub/Sub, Sentinel and cluster commands to the table.
func addTopologyCommands(t map[string]command) {
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
