package simproto

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"hitchspring/policy"
)

// line builds one action's line.
type line struct{ b []byte }

func newLine(b []byte, name string, instance int) *line {
	l := &line{b: append(b, name...)}
	return l.num("i", float64(instance))
}

func (l *line) text(name, v string) *line {
	l.b = append(append(append(append(l.b, '\t'), name...), '='), v...)
	return l
}

func (l *line) num(name string, v float64) *line {
	return l.text(name, strconv.FormatFloat(v, 'f', -1, 64))
}

func (l *line) micros(name string, d time.Duration) *line {
	return l.text(name, strconv.FormatInt(d.Microseconds(), 10))
}

func (l *line) end() []byte { return append(l.b, '\n') }

// AppendAction appends the line of one action of an instance.
func AppendAction(b []byte, instance int, a policy.Action) []byte {
	switch a := a.(type) {
	case policy.SendAttempt:
		l := newLine(b, "TRANSMIT", instance).num("call", float64(a.ID)).text("backend", string(a.Backend))
		if a.StopAt > 0 {
			l.micros("stopAtUs", a.StopAt)
		}
		return l.end()
	case policy.CancelAttempt:
		return newLine(b, "REVOKE", instance).num("call", float64(a.ID)).num("try", float64(a.Attempt)).end()
	case policy.Reject:
		l := newLine(b, "BUSY", instance).num("call", float64(a.ID))
		if a.RetryAfter > 0 {
			l.micros("retryInUs", a.RetryAfter)
		}
		return l.end()
	case policy.Fail:
		return newLine(b, "DROP_REQUEST", instance).num("call", float64(a.ID)).end()
	case policy.SetTimer:
		return newLine(b, "TIMER", instance).micros("spanUs", a.After).text("ref", "t").end()
	case policy.ProbeBackend:
		return newLine(b, "TEST", instance).text("backend", string(a.Backend)).end()
	case policy.CloseIdleConnections:
		return newLine(b, "LET_GO", instance).text("backend", string(a.Backend)).end()
	case policy.NotifyInstance:
		dest := "all"
		if a.To >= 0 {
			dest = strconv.Itoa(a.To)
		}
		msg := "-"
		if len(a.Body) > 0 {
			msg = base64.StdEncoding.EncodeToString(a.Body)
		}
		return newLine(b, "NOTIFY", instance).text("dest", dest).text("msg", msg).end()
	case policy.AddToCounter:
		return newLine(b, "INCR", instance).text("counter", a.Name).num("add", a.Add).
			micros("keepForUs", a.Keep).end()
	case policy.WatchEndpoints:
		return newLine(b, "KEEP_INFORMED", instance).text("on", "1").end()
	case policy.FetchEndpoints:
		return newLine(b, "QUERY_ALL", instance).end()
	case policy.LogLine:
		return newLine(b, "EMIT", instance).text("text", oneLine(a.Text)).end()
	}
	return b
}

// AppendFault appends the line that declares an instance broken.
func AppendFault(b []byte, instance int, text string) []byte {
	return newLine(b, "PANIC", instance).text("text", oneLine(text)).end()
}

// oneLine keeps free text from breaking the line format.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r == '\n' || r == '\r' || r == '\t' {
			return ' '
		}
		return r
	}, s)
}
