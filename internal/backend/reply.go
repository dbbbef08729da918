package backend

import (
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"hitchspring/policy"
)

const maxLoadValue = 1e9 // a load figure beyond is none

// Reply is a node's answer, taken apart.
type Reply struct {
	Value    []byte
	Load     policy.Load // the load report that came with it; nil: none that can be read
	outcome  policy.Outcome
	reusable bool // it is of a known form and nothing stands behind it: the connection is in order
	trailing bool // something stands behind it
}

// parseReply reads a whole frame from a node. Whatever is not of a known form has failed and may have run, and
// the connection that brought it is not trusted any further.
func parseReply(frame []byte) Reply {
	_, value := redcon.ReadNextRESP(frame)
	reply := Reply{outcome: policy.Failed}
	switch value.Type {
	case redcon.Error:
		code, rest, _ := strings.Cut(string(value.Data), " ")
		reply.reusable = code == "ERR" || code == "BUSY"
		if code == "BUSY" {
			reply.outcome = policy.Rejected
		}
		if i := strings.LastIndexByte(rest, ' '); i >= 0 {
			rest = rest[i+1:]
		}
		reply.Load = parseLoad(rest)
	case redcon.String:
		if string(value.Data) == "PONG" {
			reply.outcome, reply.reusable = policy.Succeeded, true
		}
	case redcon.Bulk:
		if value.Data != nil {
			reply.outcome, reply.reusable, reply.Load = policy.Succeeded, true, parseLoad(string(value.Data))
		}
	case redcon.Array: // the value, the figures on use, the load report: the latter may be unreadable
		if value.Count != 3 {
			break
		}
		i := 0
		value.ForEach(func(element redcon.RESP) bool {
			switch {
			case i == 0 && element.Type == redcon.Bulk && element.Data != nil:
				reply.outcome, reply.reusable, reply.Value = policy.Succeeded, true, append(make([]byte, 0, len(element.Data)), element.Data...)
			case i == 2 && element.Type == redcon.Bulk:
				reply.Load = parseLoad(string(element.Data))
			}
			i++
			return true
		})
	}
	return reply
}

// parseLoad reads a load report such as inflight=7,queue=2; nil if it is none. One spoilt figure spoils it all: the
// module averages what it is told, and would not forget a figure that is no number.
func parseLoad(s string) policy.Load {
	load := policy.Load{}
	for pair := range strings.SplitSeq(s, ",") {
		name, text, _ := strings.Cut(pair, "=")
		figure, err := strconv.ParseFloat(text, 64)
		if err != nil || name == "" || !(figure >= 0 && figure <= maxLoadValue) {
			return nil
		}
		load[name] = figure
	}
	return load
}
