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
	Load     policy.Load // the load report in the reply; nil if missing or invalid
	outcome  policy.Outcome
	reusable bool // it is well-formed and nothing follows it: the connection may be reused
	trailing bool // more bytes follow it
}

// parseReply parses a complete frame. A reply of unknown form is a failure whose command may have run, and its
// connection is not reused.
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

// parseError parses an error reply: its code, and a load report as its last word.
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

// parseValue parses the reply to a request: the value, the usage and the load report, which may be invalid.
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

// parseLoad parses a load report such as inflight=7,queue=2; it returns nil if s is none. One invalid value makes the
// complete report invalid: the policy averages the reported values, and a NaN would stay in the average.
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
