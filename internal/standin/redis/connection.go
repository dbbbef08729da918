package redis

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// addConnectionCommands adds the connection and server commands to the table.
func addConnectionCommands(t map[string]command) {
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
		return statusReply("PONG")
	})
	add("ECHO", 2, func(_ *call, a []string) value { return bulk(a[1]) })
	add("QUIT", -1, func(*call, []string) value { return okReply })
	add("RESET", 1, func(x *call, _ []string) value {
		x.client.endTransaction()
		x.client.name, x.client.proto, x.db, x.client.authed = "", 2, 0, x.server.options.Password == ""
		return statusReply("RESET")
	})
	add("SELECT", 2, func(x *call, a []string) value {
		n, err := strconv.Atoi(a[1])
		switch {
		case err != nil:
			return errorReply(notIntegerMessage)
		case n < 0 || n >= maxDatabases:
			return errorReplyf("DB index is out of range")
		case x.server.cluster != nil && n > 0:
			return errorReplyf("SELECT is not allowed in cluster mode")
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
		return errorReply("ERR syntax error")
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
		return errorReplyf("unknown subcommand or wrong number of arguments for '%s'", a[1])
	})
	add("INFO", -1, cmdInfo)
	for _, name := range []string{"MULTI", "EXEC", "DISCARD", "WATCH", "UNWATCH"} { // run by client.handleTransaction
		arity := 1
		if name == "WATCH" {
			arity = -2
		}
		add(name, arity, func(*call, []string) value { return okReply })
	}
}

// auth authenticates the client.
func (x *call) auth(user, password string) value {
	want := x.server.options
	switch {
	case want.Password == "":
		return errorReplyf("AUTH <password> called without any password configured for the default user. " +
			"Are you sure your configuration is correct?")
	case password != want.Password || user != want.User:
		return errorReply("WRONGPASS invalid username-password pair or user is disabled.")
	}
	x.client.authed = true
	return okReply
}

// cmdHello implements HELLO [version [AUTH user password] [SETNAME name]].
func cmdHello(x *call, a []string) value {
	proto := x.client.proto
	if len(a) > 1 {
		n, err := strconv.Atoi(a[1])
		switch {
		case err != nil:
			return errorReplyf("Protocol version is not an integer or out of range")
		case n != 2 && n != 3:
			return errorReply("NOPROTO unsupported protocol version")
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
			return errorReplyf("Syntax error in HELLO option '%s'", a[i])
		}
	}
	if !x.client.authed {
		return errorReply("NOAUTH HELLO must be called with the client already authenticated, otherwise the " +
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
	return mapping(bulk("server"), bulk("redis"), bulk("version"), bulk(serverVersion),
		bulk("proto"), integer(int64(proto)), bulk("id"), integer(x.client.id), bulk("mode"), bulk(mode),
		bulk("role"), bulk(x.server.roleName()), bulk("modules"), array())
}

// cmdClient implements the CLIENT subcommands that client libraries send when they connect.
func cmdClient(x *call, a []string) value {
	switch sub := strings.ToUpper(a[1]); {
	case sub == "ID" && len(a) == 2:
		return integer(x.client.id)
	case sub == "GETNAME" && len(a) == 2:
		if x.client.name == "" {
			return nullReply
		}
		return bulk(x.client.name)
	case sub == "SETNAME" && len(a) == 3:
		if strings.ContainsAny(a[2], " \n\r") {
			return errorReplyf("Client names cannot contain spaces, newlines or special characters.")
		}
		x.client.name = a[2]
		return okReply
	case sub == "SETINFO" && len(a) == 4:
		if opt := strings.ToUpper(a[2]); opt != "LIB-NAME" && opt != "LIB-VER" {
			return errorReplyf("Unrecognized option '%s'", a[2])
		}
		return okReply
	case sub == "INFO" || sub == "LIST":
		c := x.client
		return bulk(fmt.Sprintf("id=%d addr=%s name=%s db=%d resp=%d\n",
			c.id, c.nc.RemoteAddr(), c.name, x.db, c.proto))
	case sub == "NO-EVICT" || sub == "NO-TOUCH":
		return okReply
	}
	return errorReplyf("unknown subcommand or wrong number of arguments for '%s'. Try CLIENT HELP.", a[1])
}

// cmdCommand implements COMMAND, COMMAND COUNT and COMMAND DOCS.
func cmdCommand(x *call, a []string) value {
	switch {
	case len(a) == 1:
		out := array()
		for name, c := range x.server.commands {
			flag := "readonly"
			if c.write {
				flag = "write"
			}
			out.list = append(out.list, array(bulk(strings.ToLower(name)), integer(int64(c.arity)),
				array(statusReply(flag)),
				integer(int64(c.keys[0])), integer(int64(c.keys[1])), integer(int64(c.keys[2]))))
		}
		return out
	case strings.EqualFold(a[1], "COUNT"):
		return integer(int64(len(x.server.commands)))
	case strings.EqualFold(a[1], "DOCS"):
		return mapping()
	}
	return errorReplyf("unknown subcommand '%s'", a[1])
}

// cmdInfo implements INFO. It returns all supported sections, whatever the arguments.
func cmdInfo(x *call, _ []string) value {
	s := x.server
	var b strings.Builder
	port := s.addr[strings.LastIndexByte(s.addr, ':')+1:]
	fmt.Fprintf(&b, "# Server\r\nredis_version:%s\r\ntcp_port:%s\r\n", serverVersion, port)
	fmt.Fprintf(&b, "# Clients\r\nconnected_clients:%d\r\nmaxclients:%d\r\n", len(s.clients), s.options.MaxClients)
	fmt.Fprintf(&b, "# Persistence\r\nloading:%d\r\n", map[bool]int{true: 1}[time.Now().Before(s.loadingUntil)])
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
