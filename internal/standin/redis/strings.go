package redis

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// text returns the string stored at key. If ok is false, the key holds a value of another type.
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
		return errorReply(wrongTypeMessage)
	case !found:
		return nullReply
	}
	return bulk(s)
}

func cmdMGet(x *call, a []string) value {
	out := array()
	for _, k := range a[1:] {
		if s, found, ok := x.text(k); found && ok {
			out.list = append(out.list, bulk(s))
		} else {
			out.list = append(out.list, nullReply)
		}
	}
	return out
}

func cmdStrlen(x *call, a []string) value {
	s, _, ok := x.text(a[1])
	if !ok {
		return errorReply(wrongTypeMessage)
	}
	return integer(int64(len(s)))
}

const invalidExpireFormat = "invalid expire time in '%s' command"

// syntaxError is the error reply for invalid or conflicting options.
var syntaxError = errorReply("ERR syntax error")

// setOptions holds the options of SET.
type setOptions struct {
	onlyIfAbsent  bool // NX
	onlyIfPresent bool // XX
	get           bool // GET: reply with the previous value
	keepTTL       bool // KEEPTTL
	hasExpiry     bool // EX, PX, EXAT or PXAT
	expires       time.Time
}

// parseSetOptions parses the options of SET. If they are invalid, errReply is the error reply.
func parseSetOptions(now time.Time, args []string) (o setOptions, errReply value) {
	for i := 0; i < len(args); i++ {
		switch option := strings.ToUpper(args[i]); option {
		case "NX":
			o.onlyIfAbsent = true
		case "XX":
			o.onlyIfPresent = true
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
			if o.expires, errReply = parseSetExpiry(now, option, args[i]); errReply.kind != kindNone {
				return o, errReply
			}
		default:
			return o, syntaxError
		}
	}
	if o.onlyIfAbsent && o.onlyIfPresent || o.keepTTL && o.hasExpiry {
		return o, syntaxError
	}
	return o, value{}
}

// parseSetExpiry parses the value of EX, PX, EXAT or PXAT. If it is invalid, errReply is the error reply.
func parseSetExpiry(now time.Time, option, text string) (expires time.Time, errReply value) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, errorReply(notIntegerMessage)
	}
	unit := time.Millisecond
	if option[0] == 'E' {
		unit = time.Second
	}
	if n <= 0 || n > math.MaxInt64/int64(unit)/2 {
		return time.Time{}, errorReplyf(invalidExpireFormat, "set")
	}
	if strings.HasSuffix(option, "AT") {
		return time.UnixMilli(n * int64(unit/time.Millisecond)), value{}
	}
	return now.Add(time.Duration(n) * unit), value{}
}

// cmdSet implements SET key value [NX | XX] [GET] [EX s | PX ms | EXAT s | PXAT ms | KEEPTTL].
func cmdSet(x *call, a []string) value {
	options, errReply := parseSetOptions(x.now, a[3:])
	if errReply.kind != kindNone {
		return errReply
	}
	old := x.get(a[1])
	before := nullReply
	if old != nil && options.get {
		if old.hash != nil {
			return errorReply(wrongTypeMessage)
		}
		before = bulk(old.str)
	}
	if options.onlyIfAbsent && old != nil || options.onlyIfPresent && old == nil {
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

// propagateString propagates a string and its expiry to the replicas.
func (x *call) propagateString(key string, e *entry) {
	if e.expires.IsZero() {
		x.propagate("SET", key, e.str)
	} else {
		x.propagate("SET", key, e.str, "PXAT", unixMilli(e.expires))
	}
}

// cmdSetEX returns the implementation of SETEX or PSETEX key n value: SET with the option EX or PX.
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

const notIntegerMessage = "ERR value is not an integer or out of range"

// addChecked adds two integers. ok is false if the sum overflows.
func addChecked(a, b int64) (n int64, ok bool) {
	n = a + b
	return n, (n > a) == (b > 0)
}

func incrBy(x *call, a []string, sign int64) value {
	n, err := strconv.ParseInt(a[2], 10, 64)
	if err != nil || n == math.MinInt64 {
		return errorReply(notIntegerMessage)
	}
	return incr(x, a[1], sign*n)
}

func incr(x *call, key string, by int64) value {
	s, found, ok := x.text(key)
	if !ok {
		return errorReply(wrongTypeMessage)
	}
	var n int64
	if found {
		var err error
		if n, err = strconv.ParseInt(s, 10, 64); err != nil {
			return errorReply(notIntegerMessage)
		}
	}
	if n, ok = addChecked(n, by); !ok {
		return errorReply("ERR increment or decrement would overflow")
	}
	x.setString(key, strconv.FormatInt(n, 10))
	x.propagate("INCRBY", key, strconv.FormatInt(by, 10))
	return integer(n)
}

// setString sets a string and retains the key's expiry.
func (x *call) setString(key, s string) {
	if e := x.get(key); e != nil {
		e.str = s
		return
	}
	x.put(key, &entry{str: s})
}

func cmdIncrByFloat(x *call, a []string) value {
	s, found, ok := x.text(a[1])
	if !ok {
		return errorReply(wrongTypeMessage)
	}
	text, errReply := addFloat(s, found, a[2])
	if errReply.kind != kindNone {
		return errReply
	}
	x.setString(a[1], text)
	x.propagateString(a[1], x.get(a[1]))
	return bulk(text)
}

func addFloat(s string, found bool, by string) (string, value) {
	n := 0.0
	var err error
	if found {
		if n, err = strconv.ParseFloat(s, 64); err != nil || math.IsNaN(n) {
			return "", errorReply("ERR value is not a valid float")
		}
	}
	d, err := strconv.ParseFloat(by, 64)
	if err != nil || math.IsNaN(d) {
		return "", errorReply("ERR value is not a valid float")
	}
	if n += d; math.IsInf(n, 0) || math.IsNaN(n) {
		return "", errorReply("ERR increment would produce NaN or Infinity")
	}
	return strconv.FormatFloat(n, 'f', -1, 64), value{}
}
