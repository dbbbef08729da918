package redis

import (
	"math"
	"strconv"
	"strings"
	"time"
)

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
