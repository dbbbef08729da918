package redis

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// kind is the type of a reply.
type kind byte

const (
	kindStatus    kind = '+'
	kindError     kind = '-'
	kindInteger   kind = ':'
	kindBulk      kind = '$'
	kindNull      kind = '_'
	kindArray     kind = '*'
	kindNullArray kind = 'n' // the null array of RESP2
	kindMap       kind = '%' // list holds keys and values in turn
	kindDouble    kind = ','
	kindPush      kind = '>'
	kindSequence  kind = 'e' // list holds several replies, written one after another
	kindNone      kind = 0   // no reply
)

// value is a reply.
type value struct {
	kind kind
	str  string
	n    int64
	f    float64
	list []value
}

var (
	okReply   = value{kind: kindStatus, str: "OK"}
	nullReply = value{kind: kindNull}
)

func statusReply(s string) value { return value{kind: kindStatus, str: s} }

func errorReply(s string) value { return value{kind: kindError, str: s} }

func integer(n int64) value { return value{kind: kindInteger, n: n} }

func bulk(s string) value { return value{kind: kindBulk, str: s} }

func array(list ...value) value { return value{kind: kindArray, list: list} }

func mapping(list ...value) value { return value{kind: kindMap, list: list} }

func errorReplyf(format string, args ...any) value {
	return errorReply(fmt.Sprintf("ERR "+format, args...))
}

// append appends the encoded reply to b, in RESP version proto.
func (v value) append(b []byte, proto int) []byte {
	head := func(c byte, n int) { b = append(strconv.AppendInt(append(b, c), int64(n), 10), '\r', '\n') }
	switch v.kind {
	case kindNone:
	case kindStatus, kindError:
		clean := strings.NewReplacer("\r", " ", "\n", " ").Replace(v.str)
		b = append(append(append(b, byte(v.kind)), clean...), '\r', '\n')
	case kindInteger:
		head(':', int(v.n))
	case kindBulk:
		head('$', len(v.str))
		b = append(append(b, v.str...), '\r', '\n')
	case kindNull, kindNullArray:
		switch {
		case proto >= 3:
			b = append(b, "_\r\n"...)
		case v.kind == kindNull:
			b = append(b, "$-1\r\n"...)
		default:
			b = append(b, "*-1\r\n"...)
		}
	case kindDouble:
		text := formatFloat(v.f)
		if proto >= 3 {
			b = append(append(append(b, ','), text...), '\r', '\n')
		} else {
			b = bulk(text).append(b, proto)
		}
	case kindSequence:
		for _, e := range v.list {
			b = e.append(b, proto)
		}
	case kindArray, kindMap, kindPush:
		switch {
		case v.kind == kindMap && proto >= 3:
			head('%', len(v.list)/2)
		case v.kind == kindPush && proto >= 3:
			head('>', len(v.list))
		default:
			head('*', len(v.list))
		}
		for _, e := range v.list {
			b = e.append(b, proto)
		}
	}
	return b
}

// formatFloat formats a number as INCRBYFLOAT does, without an exponent or trailing zeros.
func formatFloat(f float64) string {
	if math.IsInf(f, 1) {
		return "inf"
	} else if math.IsInf(f, -1) {
		return "-inf"
	}
	return strconv.FormatFloat(f, 'f', -1, 64)
}
