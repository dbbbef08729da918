package redis

import (
	"sort"
	"strconv"
	"strings"
	"time"
)

// entry is the value of a key: a hash if the field hash is not nil, otherwise a string.
type entry struct {
	str     string
	hash    map[string]string
	expires time.Time // zero: never
}

// database holds the entries of one database by key.
type database map[string]*entry

const wrongTypeMessage = "WRONGTYPE Operation against a key holding the wrong kind of value"

// get returns the entry of a key, or nil if the key doesn't exist or has expired. It deletes an expired key, except on
// a replica that serves a client.
func (x *call) get(key string) *entry {
	db := x.server.dbs[x.db]
	e := db[key]
	if e != nil && !e.expires.IsZero() && !x.now.Before(e.expires) {
		if !x.server.isReplica() || x.replicated {
			delete(db, key)
		}
		return nil
	}
	return e
}

func (x *call) put(key string, e *entry) {
	if x.server.dbs[x.db] == nil {
		x.server.dbs[x.db] = database{}
	}
	x.server.dbs[x.db][key] = e
}

func cmdDel(x *call, a []string) value {
	n := int64(0)
	for _, k := range a[1:] {
		if x.get(k) != nil {
			delete(x.server.dbs[x.db], k)
			x.propagate("DEL", k)
			n++
		}
	}
	return integer(n)
}

func cmdExists(x *call, a []string) value {
	n := int64(0)
	for _, k := range a[1:] {
		if x.get(k) != nil {
			n++
		}
	}
	return integer(n)
}

func cmdType(x *call, a []string) value {
	switch e := x.get(a[1]); {
	case e == nil:
		return statusReply("none")
	case e.hash != nil:
		return statusReply("hash")
	}
	return statusReply("string")
}

func cmdDBSize(x *call, _ []string) value {
	n := int64(0)
	for k := range x.server.dbs[x.db] {
		if x.get(k) != nil {
			n++
		}
	}
	return integer(n)
}

func cmdFlushAll(x *call, _ []string) value {
	clear(x.server.dbs)
	x.propagate("FLUSHALL")
	return okReply
}

func cmdFlushDB(x *call, _ []string) value {
	delete(x.server.dbs, x.db)
	x.propagate("FLUSHDB")
	return okReply
}

// cmdKeys implements KEYS, but only for an exact key or a pattern of the form prefix*.
func cmdKeys(x *call, a []string) value {
	prefix, star := strings.CutSuffix(a[1], "*")
	var keys []string
	for k := range x.server.dbs[x.db] {
		if (k == a[1] || star && strings.HasPrefix(k, prefix)) && x.get(k) != nil {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := array()
	for _, k := range keys {
		out.list = append(out.list, bulk(k))
	}
	return out
}

func cmdTime(x *call, _ []string) value {
	us := x.now.UnixMicro()
	return array(bulk(strconv.FormatInt(us/1e6, 10)), bulk(strconv.FormatInt(us%1e6, 10)))
}
