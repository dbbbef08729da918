package redis

import (
	"math"
	"strconv"
	"strings"
	"time"
)

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
