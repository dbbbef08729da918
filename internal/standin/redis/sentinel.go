package redis

import (
	"net"
	"slices"
	"strings"
)

// AddSentinel starts a Sentinel and returns it with the master name under which it monitors the primary.
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

// isSentinelCommand reports whether a Sentinel supports a command.
func isSentinelCommand(name string) bool {
	return slices.Contains([]string{
		"SENTINEL", "PING", "HELLO", "AUTH", "CLIENT", "INFO", "ROLE", "SUBSCRIBE", "PUBLISH",
		"COMMAND", "QUIT", "RESET",
	}, name)
}

// cmdSentinel implements the SENTINEL subcommands that client libraries use.
func cmdSentinel(x *call, a []string) value {
	g := x.server.group
	if !x.server.sentinel {
		return errorReplyf("unknown command 'SENTINEL', with args beginning with: ")
	}
	if len(a) < 3 {
		return errorReplyf("wrong number of arguments for 'sentinel' command")
	}
	describe := func(o *Server, flags string) value {
		host, port, _ := net.SplitHostPort(o.addr)
		return mapping(bulk("name"), bulk(g.name), bulk("ip"), bulk(host), bulk("port"), bulk(port),
			bulk("runid"), bulk(o.id), bulk("flags"), bulk(flags), bulk("link-refcount"), bulk("1"))
	}
	sub := strings.ToUpper(a[1])
	if a[2] != g.name {
		if sub == "GET-MASTER-ADDR-BY-NAME" {
			return value{kind: kindNullArray}
		}
		return errorReplyf("No such master with that name")
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
	return errorReplyf("Unknown sentinel subcommand '%s'", a[1])
}
