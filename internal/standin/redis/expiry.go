package redis

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// cmdExpire returns the implementation of EXPIRE, PEXPIRE, EXPIREAT or PEXPIREAT key n [NX | XX | GT | LT].
func cmdExpire(unit time.Duration, absolute bool) func(*call, []string) value {
	return func(x *call, a []string) value {
		n, err := strconv.ParseInt(a[2], 10, 64)
		if err != nil {
			return errorReply(notIntegerMessage)
		}
		if n > math.MaxInt64/int64(unit)/2 || n < -math.MaxInt64/int64(unit)/2 {
			return errorReplyf(invalidExpireFormat, strings.ToLower(a[0]))
		}
		when := x.now.Add(time.Duration(n) * unit)
		if absolute {
			when = time.UnixMilli(n * int64(unit/time.Millisecond))
		}
		e := x.get(a[1])
		if e == nil {
			return integer(0)
		}
		for _, option := range a[3:] {
			allowed, known := allowsExpiry(option, e.expires, when)
			if !known {
				return errorReplyf("Unsupported option %s", option)
			}
			if !allowed {
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

// allowsExpiry reports whether an option of EXPIRE allows the expiry to change from current to next, and whether the
// option is known. A zero current means that the key has no expiry.
func allowsExpiry(option string, current, next time.Time) (allowed, known bool) {
	switch strings.ToUpper(option) {
	case "NX":
		return current.IsZero(), true
	case "XX":
		return !current.IsZero(), true
	case "GT":
		return !current.IsZero() && next.After(current), true
	case "LT":
		return current.IsZero() || next.Before(current), true
	default:
		return false, false
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
