package simproto

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"hitchspring/policy"
)

// line appends one line to a buffer, field by field.
type line struct{ buf []byte }

// newLine starts a line with its name and the field "i", the instance.
func newLine(buf []byte, name string, instance int) *line {
	l := &line{buf: append(buf, name...)}
	return l.number("i", float64(instance))
}

func (l *line) text(name, value string) *line {
	l.buf = append(l.buf, '\t')
	l.buf = append(l.buf, name...)
	l.buf = append(l.buf, '=')
	l.buf = append(l.buf, value...)
	return l
}

func (l *line) number(name string, value float64) *line {
	return l.text(name, strconv.FormatFloat(value, 'f', -1, 64))
}

func (l *line) micros(name string, span time.Duration) *line {
	return l.text(name, strconv.FormatInt(span.Microseconds(), 10))
}

// end terminates the line and returns the buffer.
func (l *line) end() []byte { return append(l.buf, '\n') }

// AppendAction appends the line for one action of an instance. An action without a line in the protocol is skipped.
func AppendAction(buf []byte, instance int, action policy.Action) []byte {
	switch a := action.(type) {
	case policy.SendAttempt:
		l := newLine(buf, "TRANSMIT", instance).number("call", float64(a.ID)).text("backend", string(a.Backend))
		if a.StopAt > 0 {
			l.micros("stopAtUs", a.StopAt)
		}
		return l.end()
	case policy.CancelAttempt:
		return newLine(buf, "REVOKE", instance).number("call", float64(a.ID)).number("try", float64(a.Attempt)).end()
	case policy.Reject:
		l := newLine(buf, "BUSY", instance).number("call", float64(a.ID))
		if a.RetryAfter > 0 {
			l.micros("retryInUs", a.RetryAfter)
		}
		return l.end()
	case policy.Fail:
		return newLine(buf, "DROP_REQUEST", instance).number("call", float64(a.ID)).end()
	case policy.SetTimer:
		return newLine(buf, "TIMER", instance).micros("spanUs", a.After).text("ref", "t").end()
	case policy.ProbeBackend:
		return newLine(buf, "TEST", instance).text("backend", string(a.Backend)).end()
	case policy.CloseIdleConnections:
		return newLine(buf, "LET_GO", instance).text("backend", string(a.Backend)).end()
	case policy.NotifyInstance:
		return appendNotification(buf, instance, a)
	case policy.AddToCounter:
		return newLine(buf, "INCR", instance).text("counter", a.Name).number("add", a.Add).
			micros("keepForUs", a.Retention).end()
	case policy.WatchEndpoints:
		return newLine(buf, "KEEP_INFORMED", instance).text("on", "1").end()
	case policy.FetchEndpoints:
		return newLine(buf, "QUERY_ALL", instance).end()
	case policy.LogLine:
		return newLine(buf, "EMIT", instance).text("text", oneLine(a.Text)).end()
	}
	return buf
}

func appendNotification(buf []byte, instance int, a policy.NotifyInstance) []byte {
	dest := "all"
	if a.To >= 0 {
		dest = strconv.Itoa(a.To)
	}
	msg := "-"
	if len(a.Body) > 0 {
		msg = base64.StdEncoding.EncodeToString(a.Body)
	}
	return newLine(buf, "NOTIFY", instance).text("dest", dest).text("msg", msg).end()
}

// AppendFault appends the line that reports an instance as failed.
func AppendFault(buf []byte, instance int, text string) []byte {
	return newLine(buf, "PANIC", instance).text("text", oneLine(text)).end()
}

// oneLine replaces line breaks and tabs, which delimit lines and fields, with spaces.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r == '\n' || r == '\r' || r == '\t' {
			return ' '
		}
		return r
	}, text)
}
