package redis

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// slotCount is the number of hash slots of a cluster.
const slotCount = 16384

// Cluster is a set of shards that share the hash slots.
type Cluster struct {
	mu        sync.Mutex // guards owner and migrating
	shards    []*Server
	owner     [slotCount]*Server
	migrating map[int]*Server // target shards of slots in migration; owners answer ASK for missing keys
}

// StartCluster starts a cluster of the given number of shards and distributes the slots evenly.
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

// Close closes all shards.
func (c *Cluster) Close() {
	for _, s := range c.shards {
		s.Close()
	}
}

// Shards returns the shards, in the order of their initial slots.
func (c *Cluster) Shards() []*Server { return slices.Clone(c.shards) }

// Assign makes a shard the owner of a slot immediately and ends any migration of the slot. Keys are not moved.
func (c *Cluster) Assign(slot int, to *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner[slot] = to
	delete(c.migrating, slot)
}

// Migrate starts the migration of a slot: from now on its owner answers ASK for keys that it doesn't have.
func (c *Cluster) Migrate(slot int, to *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.migrating[slot] = to
}

// Slot returns the hash slot of a key: the CRC16 of its hash tag (the text in the first braces), or of the complete key
// if it has no hash tag.
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

// keysOf returns the keys among a command's arguments.
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

// validate returns the error reply for a command whose keys the shard does not serve, or the zero value if it may run.
func (c *Cluster) validate(s *Server, x *call, name string, cmd command, args []string) value {
	keys := keysOf(name, cmd, args)
	if len(keys) == 0 || x.inScript {
		return value{}
	}
	slot := Slot(keys[0])
	for _, k := range keys[1:] {
		if Slot(k) != slot {
			return errorReply("CROSSSLOT Keys in request don't hash to the same slot")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	owner, target := c.owner[slot], c.migrating[slot]
	switch {
	case owner == nil:
		return errorReply("CLUSTERDOWN Hash slot not served")
	case owner == s && target != nil && target != s && x.get(keys[0]) == nil:
		return errorReply(fmt.Sprintf("ASK %d %s", slot, target.addr))
	case owner != s && (target != s || x.client == nil || !x.client.asking):
		return errorReply(fmt.Sprintf("MOVED %d %s", slot, owner.addr))
	}
	return value{}
}

// cmdCluster implements CLUSTER KEYSLOT, MYID, INFO, SLOTS and SHARDS.
func cmdCluster(x *call, a []string) value {
	c := x.server.cluster
	if c == nil {
		return errorReplyf("This instance has cluster support disabled")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch sub := strings.ToUpper(a[1]); {
	case sub == "KEYSLOT" && len(a) == 3:
		return integer(int64(Slot(a[2])))
	case sub == "MYID":
		return bulk(x.server.id)
	case sub == "INFO":
		return bulk(fmt.Sprintf("cluster_enabled:1\r\ncluster_state:ok\r\n"+
			"cluster_slots_assigned:%d\r\ncluster_known_nodes:%d\r\n", slotCount, len(c.shards)))
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
			node := mapping(bulk("id"), bulk(s.id), bulk("port"), integer(int64(n)), bulk("ip"), bulk(host),
				bulk("endpoint"), bulk(host), bulk("role"), bulk("master"), bulk("replication-offset"), integer(0),
				bulk("health"), bulk("online"))
			out.list = append(out.list, mapping(bulk("slots"), own, bulk("nodes"), array(node)))
		}
		return out
	}
	return errorReplyf("unknown subcommand '%s'", a[1])
}

// ranges calls report for each range of consecutive slots with the same owner. The caller must hold c.mu.
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
