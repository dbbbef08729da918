package redis

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// allowedWhileLoading lists the commands that are answered in every state.
var allowedWhileLoading = []string{
	"HELLO", "AUTH", "CLIENT", "INFO", "ROLE", "COMMAND", "QUIT", "RESET", "SELECT", "CONFIG",
}

// check returns the reply to a command that may not run, or nothing.
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

// call is one execution of a command: by a client, a script, a transaction or the replication.
type call struct {
	server     *Server
	client     *client // nil: not run by a client
	db         int
	now        time.Time
	inScript   bool
	replicated bool // an effect of the primary: nothing is checked or propagated
}

// propagate logs an effect for the replicas, in a form that does not depend on when they apply it.
func (x *call) propagate(args ...string) {
	if !x.replicated {
		x.server.propagate(x.db, x.now, args)
	}
}

// unixMilli returns a time as PXAT takes it.
func unixMilli(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }

// command is an entry of the table of commands.
type command struct {
	arity    int // as in the reply of COMMAND, with the name; negative: at least so many
	write    bool
	noScript bool
	keys     [3]int // first, last, step; first 0: none
	run      func(*call, []string) value
}

// newCommandTable returns all commands, by their upper-case names. It is not changed afterwards.
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
	addConnection(t)
	addScripts(t)
	addTopology(t)
	return t
}

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
