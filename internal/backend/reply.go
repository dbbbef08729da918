package backend

import (
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"hitchspring/policy"
)

// maxLoadValue is the highest value that a load report may hold.
const maxLoadValue = 1e9

// Reply is a backend's answer to a command.
type Reply struct {
	Value    []byte
	Load     policy.Load // the load report that came with it; nil if there is none that can be read
	outcome  policy.Outcome
	reusable bool // it has a known form and nothing follows it: the connection may carry another command
	trailing bool // bytes follow it
}

// parseReply reads a complete frame. A reply of no known form has failed and may have run, and the connection that
// brought it is not used further.
func parseReply(frame []byte) Reply {
	_, value := redcon.ReadNextRESP(frame)
	reply := Reply{outcome: policy.Failed}
	switch value.Type {
	case redcon.Error:
		parseError(&reply, string(value.Data))
	case redcon.String:
		if string(value.Data) == "PONG" {
			reply.outcome = policy.Succeeded
			reply.reusable = true
		}
	case redcon.Bulk: // to a health check
		if value.Data != nil {
			reply.outcome = policy.Succeeded
			reply.reusable = true
			reply.Load = parseLoad(string(value.Data))
		}
	case redcon.Array:
		parseValue(&reply, value)
	}
	return reply
}

// parseError reads an error line: its code, and a load report as its last word.
func parseError(reply *Reply, line string) {
	code, rest, _ := strings.Cut(line, " ")
	reply.reusable = code == "ERR" || code == "BUSY"
	if code == "BUSY" {
		reply.outcome = policy.Rejected
	}
	if i := strings.LastIndexByte(rest, ' '); i >= 0 {
		rest = rest[i+1:]
	}
	reply.Load = parseLoad(rest)
}

// parseValue reads the reply to a request: the value, the usage, and the load report, which may be unreadable.
func parseValue(reply *Reply, array redcon.RESP) {
	if array.Count != 3 {
		return
	}
	i := 0
	array.ForEach(func(element redcon.RESP) bool {
		switch {
		case i == 0 && element.Type == redcon.Bulk && element.Data != nil:
			reply.outcome = policy.Succeeded
			reply.reusable = true
			reply.Value = append(make([]byte, 0, len(element.Data)), element.Data...)
		case i == 2 && element.Type == redcon.Bulk:
			reply.Load = parseLoad(string(element.Data))
		}
		i++
		return true
	})
}

// parseLoad reads a load report such as inflight=7,queue=2; it returns nil if it is none. One unreadable value
// makes the whole report unreadable: the policy averages what is reported, and a NaN would stay in its average.
func parseLoad(s string) policy.Load {
	load := policy.Load{}
	for pair := range strings.SplitSeq(s, ",") {
		name, text, _ := strings.Cut(pair, "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || name == "" || !(value >= 0 && value <= maxLoadValue) {
			return nil
		}
		load[name] = value
	}
	return load
}
