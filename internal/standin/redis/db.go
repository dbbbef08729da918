package redis

import (
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
)

// entry is a key's value: a string, or a hash where hash is not nil.
type entry struct {
	str     string
	hash    map[string]string
	expires time.Time // zero: never
}

// database is the keys of one number.
type database map[string]*entry

// call is one execution of a command: by a client, a script, a transaction or the replication.
type call struct {
	server     *Server
	client     *client // nil: a script's or the replication's
	db         int
	now        time.Time
	inScript   bool
	replicated bool // what a primary did: nothing is propagated or refused
}

const wrongType = "WRONGTYPE Operation against a key holding the wrong kind of value"

// get returns a key that has not expired, or nil.
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

// wrote tells the replicas of an effect, in a form that does not depend on when it is played.
func (x *call) propagate(args ...string) {
	if !x.replicated {
		x.server.propagate(x.db, x.now, args)
	}
}

func unixMilli(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }

// command is an entry of the table of commands.
type command struct {
	arity    int // as COMMAND tells it: below 0 at least so many, the name counted
	write    bool
	noScript bool
	keys     [3]int // first, last, step; first 0: none
	run      func(*call, []string) value
}

// table is all that a server knows, by upper-case name; it is made once and read only.
func newCommandTable() map[string]command {
	one := [3]int{1, 1, 1}
	all := [3]int{1, -1, 1}
	t := map[string]command{
		"GET":          {2, false, false, one, cmdGet},
		"SET":          {-3, true, false, one, cmdSet},
		"SETEX":        {4, true, false, one, func(x *call, a []string) value { return cmdSet(x, []string{"SET", a[1], a[3], "EX", a[2]}) }},
		"PSETEX":       {4, true, false, one, func(x *call, a []string) value { return cmdSet(x, []string{"SET", a[1], a[3], "PX", a[2]}) }},
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

// text returns the string at key; ok is false where it holds something else.
func (x *call) text(key string) (s string, found, ok bool) {
	e := x.get(key)
	if e == nil {
		return "", false, true
	}
	return e.str, true, e.hash == nil
}

func cmdGet(x *call, a []string) value {
	s, found, ok := x.text(a[1])
	switch {
	case !ok:
		return failure(wrongType)
	case !found:
		return null
	}
	return bulk(s)
}

func cmdMGet(x *call, a []string) value {
	out := array()
	for _, k := range a[1:] {
		if s, found, ok := x.text(k); found && ok {
			out.list = append(out.list, bulk(s))
		} else {
			out.list = append(out.list, null)
		}
	}
	return out
}

func cmdStrlen(x *call, a []string) value {
	s, _, ok := x.text(a[1])
	if !ok {
		return failure(wrongType)
	}
	return integer(int64(len(s)))
}

const invalidExpire = "invalid expire time in '%s' command"

// cmdSet: SET key value [NX | XX] [GET] [EX s | PX ms | EXAT s | PXAT ms | KEEPTTL].
func cmdSet(x *call, a []string) value {
	e := &entry{str: a[2]}
	var nx, xx, get, keep, timed bool
	for i := 3; i < len(a); i++ {
		switch opt := strings.ToUpper(a[i]); opt {
		case "NX":
			nx = true
		case "XX":
			xx = true
		case "GET":
			get = true
		case "KEEPTTL":
			keep = true
		case "EX", "PX", "EXAT", "PXAT":
			if timed || i+1 >= len(a) {
				return failure("ERR syntax error")
			}
			timed = true
			i++
			n, err := strconv.ParseInt(a[i], 10, 64)
			if err != nil {
				return failure("ERR value is not an integer or out of range")
			}
			unit := time.Millisecond
			if opt[0] == 'E' {
				unit = time.Second
			}
			if n <= 0 || n > math.MaxInt64/int64(unit)/2 {
				return errorf(invalidExpire, "set")
			}
			if strings.HasSuffix(opt, "AT") {
				e.expires = time.UnixMilli(n * int64(unit/time.Millisecond))
			} else {
				e.expires = x.now.Add(time.Duration(n) * unit)
			}
		default:
			return failure("ERR syntax error")
		}
	}
	if nx && xx || keep && timed {
		return failure("ERR syntax error")
	}
	old := x.get(a[1])
	before := null
	if old != nil && get {
		if old.hash != nil {
			return failure(wrongType)
		}
		before = bulk(old.str)
	}
	if nx && old != nil || xx && old == nil {
		return before
	}
	if keep && old != nil {
		e.expires = old.expires
	}
	x.put(a[1], e)
	if e.expires.IsZero() {
		x.propagate("SET", a[1], a[2])
	} else {
		x.propagate("SET", a[1], a[2], "PXAT", unixMilli(e.expires))
	}
	if get {
		return before
	}
	return okReply
}

func cmdSetNX(x *call, a []string) value {
	if x.get(a[1]) != nil {
		return integer(0)
	}
	cmdSet(x, []string{"SET", a[1], a[2]})
	return integer(1)
}

const notInteger = "ERR value is not an integer or out of range"

// sum adds two integers; ok is false where the result has no room.
func addChecked(a, b int64) (n int64, ok bool) {
	n = a + b
	return n, (n > a) == (b > 0)
}

func incrBy(x *call, a []string, sign int64) value {
	n, err := strconv.ParseInt(a[2], 10, 64)
	if err != nil || n == math.MinInt64 {
		return failure(notInteger)
	}
	return incr(x, a[1], sign*n)
}

func incr(x *call, key string, by int64) value {
	s, found, ok := x.text(key)
	if !ok {
		return failure(wrongType)
	}
	var n int64
	if found {
		var err error
		if n, err = strconv.ParseInt(s, 10, 64); err != nil {
			return failure(notInteger)
		}
	}
	if n, ok = addChecked(n, by); !ok {
		return failure("ERR increment or decrement would overflow")
	}
	x.setText(key, strconv.FormatInt(n, 10))
	x.propagate("INCRBY", key, strconv.FormatInt(by, 10))
	return integer(n)
}

// setText changes a string and leaves its life as it is.
func (x *call) setText(key, s string) {
	if e := x.get(key); e != nil {
		e.str = s
		return
	}
	x.put(key, &entry{str: s})
}

func cmdIncrByFloat(x *call, a []string) value {
	s, found, ok := x.text(a[1])
	if !ok {
		return failure(wrongType)
	}
	text, fail := addFloat(s, found, a[2])
	if fail.kind != kindNone {
		return fail
	}
	x.setText(a[1], text)
	e := x.get(a[1])
	if e.expires.IsZero() {
		x.propagate("SET", a[1], text)
	} else {
		x.propagate("SET", a[1], text, "PXAT", unixMilli(e.expires))
	}
	return bulk(text)
}

func addFloat(s string, found bool, by string) (string, value) {
	n := 0.0
	var err error
	if found {
		if n, err = strconv.ParseFloat(s, 64); err != nil || math.IsNaN(n) {
			return "", failure("ERR value is not a valid float")
		}
	}
	d, err := strconv.ParseFloat(by, 64)
	if err != nil || math.IsNaN(d) {
		return "", failure("ERR value is not a valid float")
	}
	if n += d; math.IsInf(n, 0) || math.IsNaN(n) {
		return "", failure("ERR increment would produce NaN or Infinity")
	}
	return strconv.FormatFloat(n, 'f', -1, 64), value{}
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
		return status("none")
	case e.hash != nil:
		return status("hash")
	}
	return status("string")
}

// expire: [P]EXPIRE[AT] key n [NX | XX | GT | LT].
func cmdExpire(unit time.Duration, absolute bool) func(*call, []string) value {
	return func(x *call, a []string) value {
		n, err := strconv.ParseInt(a[2], 10, 64)
		if err != nil {
			return failure(notInteger)
		}
		if n > math.MaxInt64/int64(unit)/2 || n < -math.MaxInt64/int64(unit)/2 {
			return errorf(invalidExpire, strings.ToLower(a[0]))
		}
		when := x.now.Add(time.Duration(n) * unit)
		if absolute {
			when = time.UnixMilli(n * int64(unit/time.Millisecond))
		}
		e := x.get(a[1])
		if e == nil {
			return integer(0)
		}
		for _, opt := range a[3:] {
			no := false
			switch strings.ToUpper(opt) {
			case "NX":
				no = !e.expires.IsZero()
			case "XX":
				no = e.expires.IsZero()
			case "GT":
				no = e.expires.IsZero() || !when.After(e.expires)
			case "LT":
				no = !e.expires.IsZero() && !when.Before(e.expires)
			default:
				return errorf("Unsupported option %s", opt)
			}
			if no {
				return integer(0)
			}
		}
		if !when.After(x.now) {
			delete(x.server.dbs[x.db], a[1])
			x.propagate("DEL", a[1])
			return integer(1)
		}
		e.expires = when
		x.propagate("PEXPIREAT", a[1], unixMilli(when))
		return integer(1)
	}
}

func cmdPersist(x *call, a []string) value {
	e := x.get(a[1])
	if e == nil || e.expires.IsZero() {
		return integer(0)
	}
	e.expires = time.Time{}
	x.propagate("PERSIST", a[1])
	return integer(1)
}

func cmdTTL(unit time.Duration) func(*call, []string) value {
	return func(x *call, a []string) value {
		e := x.get(a[1])
		switch {
		case e == nil:
			return integer(-2)
		case e.expires.IsZero():
			return integer(-1)
		}
		return integer(int64((e.expires.Sub(x.now) + unit/2) / unit))
	}
}

// hash returns the hash at key, a new one where make is set; ok is false where it holds something else.
func (x *call) hash(key string, create bool) (h map[string]string, ok bool) {
	e := x.get(key)
	if e == nil && create {
		e = &entry{hash: map[string]string{}}
		x.put(key, e)
	}
	if e == nil {
		return nil, true
	}
	return e.hash, e.hash != nil
}

func cmdHSet(x *call, a []string) value {
	if len(a)%2 != 0 {
		return errorf("wrong number of arguments for '%s' command", strings.ToLower(a[0]))
	}
	h, ok := x.hash(a[1], true)
	if !ok {
		return failure(wrongType)
	}
	n := int64(0)
	for i := 2; i < len(a); i += 2 {
		if _, had := h[a[i]]; !had {
			n++
		}
		h[a[i]] = a[i+1]
	}
	x.propagate(a...)
	return integer(n)
}

func cmdHGet(x *call, a []string) value {
	h, ok := x.hash(a[1], false)
	if !ok {
		return failure(wrongType)
	}
	if s, found := h[a[2]]; found {
		return bulk(s)
	}
	return null
}

func cmdHMGet(x *call, a []string) value {
	h, ok := x.hash(a[1], false)
	if !ok {
		return failure(wrongType)
	}
	out := array()
	for _, f := range a[2:] {
		if s, found := h[f]; found {
			out.list = append(out.list, bulk(s))
		} else {
			out.list = append(out.list, null)
		}
	}
	return out
}

func cmdHGetAll(x *call, a []string) value {
	h, ok := x.hash(a[1], false)
	if !ok {
		return failure(wrongType)
	}
	fields := make([]string, 0, len(h))
	for f := range h {
		fields = append(fields, f)
	}
	sort.Strings(fields)
	out := mapping()
	for _, f := range fields {
		out.list = append(out.list, bulk(f), bulk(h[f]))
	}
	return out
}

func cmdHDel(x *call, a []string) value {
	h, ok := x.hash(a[1], false)
	if !ok {
		return failure(wrongType)
	}
	n := int64(0)
	for _, f := range a[2:] {
		if _, found := h[f]; found {
			delete(h, f)
			n++
		}
	}
	if n > 0 {
		if len(h) == 0 {
			delete(x.server.dbs[x.db], a[1])
		}
		x.propagate(a...)
	}
	return integer(n)
}

func cmdHLen(x *call, a []string) value {
	h, ok := x.hash(a[1], false)
	if !ok {
		return failure(wrongType)
	}
	return integer(int64(len(h)))
}

func cmdHIncrBy(x *call, a []string) value {
	by, err := strconv.ParseInt(a[3], 10, 64)
	if err != nil {
		return failure(notInteger)
	}
	h, ok := x.hash(a[1], true)
	if !ok {
		return failure(wrongType)
	}
	var n int64
	if s, found := h[a[2]]; found {
		if n, err = strconv.ParseInt(s, 10, 64); err != nil {
			return failure("ERR hash value is not an integer")
		}
	}
	if n, ok = addChecked(n, by); !ok && by != 0 {
		return failure("ERR increment or decrement would overflow")
	}
	h[a[2]] = strconv.FormatInt(n, 10)
	x.propagate(a...)
	return integer(n)
}

func cmdHIncrByFloat(x *call, a []string) value {
	h, ok := x.hash(a[1], true)
	if !ok {
		return failure(wrongType)
	}
	s, found := h[a[2]]
	text, fail := addFloat(s, found, a[3])
	if fail.kind != kindNone {
		return fail
	}
	h[a[2]] = text
	x.propagate("HSET", a[1], a[2], text)
	return bulk(text)
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

// cmdKeys knows one pattern only: a prefix and a star.
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
