package redis

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// text returns the string at key; ok is false if it holds something else.
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

// syntaxError is the reply to options that make no sense.
var syntaxError = failure("ERR syntax error")

// setOptions are the options of SET.
type setOptions struct {
	onlyNew   bool // NX
	onlyOld   bool // XX
	get       bool // GET: reply with the value before
	keepTTL   bool // KEEPTTL
	hasExpiry bool // EX, PX, EXAT or PXAT
	expires   time.Time
}

// parseSetOptions reads the options of SET; bad is the reply if they are wrong.
func parseSetOptions(now time.Time, args []string) (o setOptions, bad value) {
	for i := 0; i < len(args); i++ {
		switch option := strings.ToUpper(args[i]); option {
		case "NX":
			o.onlyNew = true
		case "XX":
			o.onlyOld = true
		case "GET":
			o.get = true
		case "KEEPTTL":
			o.keepTTL = true
		case "EX", "PX", "EXAT", "PXAT":
			if o.hasExpiry || i+1 >= len(args) {
				return o, syntaxError
			}
			o.hasExpiry = true
			i++
			if o.expires, bad = parseSetExpiry(now, option, args[i]); bad.kind != kindNone {
				return o, bad
			}
		default:
			return o, syntaxError
		}
	}
	if o.onlyNew && o.onlyOld || o.keepTTL && o.hasExpiry {
		return o, syntaxError
	}
	return o, value{}
}

// parseSetExpiry reads the value of EX, PX, EXAT or PXAT; bad is the reply if it is wrong.
func parseSetExpiry(now time.Time, option, text string) (expires time.Time, bad value) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, failure(notInteger)
	}
	unit := time.Millisecond
	if option[0] == 'E' {
		unit = time.Second
	}
	if n <= 0 || n > math.MaxInt64/int64(unit)/2 {
		return time.Time{}, errorf(invalidExpire, "set")
	}
	if strings.HasSuffix(option, "AT") {
		return time.UnixMilli(n * int64(unit/time.Millisecond)), value{}
	}
	return now.Add(time.Duration(n) * unit), value{}
}

// cmdSet is SET key value [NX | XX] [GET] [EX s | PX ms | EXAT s | PXAT ms | KEEPTTL].
func cmdSet(x *call, a []string) value {
	options, bad := parseSetOptions(x.now, a[3:])
	if bad.kind != kindNone {
		return bad
	}
	old := x.get(a[1])
	before := null
	if old != nil && options.get {
		if old.hash != nil {
			return failure(wrongType)
		}
		before = bulk(old.str)
	}
	if options.onlyNew && old != nil || options.onlyOld && old == nil {
		return before
	}
	e := &entry{str: a[2], expires: options.expires}
	if options.keepTTL && old != nil {
		e.expires = old.expires
	}
	x.put(a[1], e)
	x.propagateString(a[1], e)
	if options.get {
		return before
	}
	return okReply
}

// propagateString logs a string and its expiry for the replicas.
func (x *call) propagateString(key string, e *entry) {
	if e.expires.IsZero() {
		x.propagate("SET", key, e.str)
	} else {
		x.propagate("SET", key, e.str, "PXAT", unixMilli(e.expires))
	}
}

// cmdSetEX returns SETEX or PSETEX key n value, by the option of SET that they stand for.
func cmdSetEX(option string) func(*call, []string) value {
	return func(x *call, a []string) value { return cmdSet(x, []string{"SET", a[1], a[3], option, a[2]}) }
}

func cmdSetNX(x *call, a []string) value {
	if x.get(a[1]) != nil {
		return integer(0)
	}
	cmdSet(x, []string{"SET", a[1], a[2]})
	return integer(1)
}

const notInteger = "ERR value is not an integer or out of range"

// addChecked adds two integers; ok is false if the sum overflows.
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

// setText changes a string and leaves its expiry as it is.
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
	x.propagateString(a[1], x.get(a[1]))
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
