package redis

import (
	"sort"
	"strconv"
	"strings"
)

// hash returns the hash stored at key. If the key doesn't exist, it creates an empty hash if create is set, or returns
// nil. If ok is false, the key holds a value of another type.
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
		return errorReplyf("wrong number of arguments for '%s' command", strings.ToLower(a[0]))
	}
	h, ok := x.hash(a[1], true)
	if !ok {
		return errorReply(wrongTypeMessage)
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
		return errorReply(wrongTypeMessage)
	}
	if s, found := h[a[2]]; found {
		return bulk(s)
	}
	return nullReply
}

func cmdHMGet(x *call, a []string) value {
	h, ok := x.hash(a[1], false)
	if !ok {
		return errorReply(wrongTypeMessage)
	}
	out := array()
	for _, f := range a[2:] {
		if s, found := h[f]; found {
			out.list = append(out.list, bulk(s))
		} else {
			out.list = append(out.list, nullReply)
		}
	}
	return out
}

func cmdHGetAll(x *call, a []string) value {
	h, ok := x.hash(a[1], false)
	if !ok {
		return errorReply(wrongTypeMessage)
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
		return errorReply(wrongTypeMessage)
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
		return errorReply(wrongTypeMessage)
	}
	return integer(int64(len(h)))
}

func cmdHIncrBy(x *call, a []string) value {
	by, err := strconv.ParseInt(a[3], 10, 64)
	if err != nil {
		return errorReply(notIntegerMessage)
	}
	h, ok := x.hash(a[1], true)
	if !ok {
		return errorReply(wrongTypeMessage)
	}
	var n int64
	if s, found := h[a[2]]; found {
		if n, err = strconv.ParseInt(s, 10, 64); err != nil {
			return errorReply("ERR hash value is not an integer")
		}
	}
	if n, ok = addChecked(n, by); !ok && by != 0 {
		return errorReply("ERR increment or decrement would overflow")
	}
	h[a[2]] = strconv.FormatInt(n, 10)
	x.propagate(a...)
	return integer(n)
}

func cmdHIncrByFloat(x *call, a []string) value {
	h, ok := x.hash(a[1], true)
	if !ok {
		return errorReply(wrongTypeMessage)
	}
	s, found := h[a[2]]
	text, errReply := addFloat(s, found, a[3])
	if errReply.kind != kindNone {
		return errReply
	}
	h[a[2]] = text
	x.propagate("HSET", a[1], a[2], text)
	return bulk(text)
}
