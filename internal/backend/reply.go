package backend

import (
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"hitchspring/policy"
)

const mostLoad = 1e9 // a load figure beyond is none

// Reply is a node's answer, taken apart.
type Reply struct {
	Value   []byte
	Load    policy.Load // the load report that came with it; nil: none that can be read
	outcome policy.Outcome
	keep    bool // it is of a known form and nothing stands behind it: the connection is in order
	extra   bool // something stands behind it
}

// parseReply reads a whole frame from a node. Whatever is not of a known form has failed and may have run, and
// the connection that brought it is not trusted any further.
func parseReply(f []byte) Reply {
	_, r := redcon.ReadNextRESP(f)
	out := Reply{outcome: policy.Failed}
	switch r.Type {
	case redcon.Error:
		word, rest, _ := strings.Cut(string(r.Data), " ")
		out.keep = word == "ERR" || word == "BUSY"
		if word == "BUSY" {
			out.outcome = policy.Rejected
		}
		if i := strings.LastIndexByte(rest, ' '); i >= 0 {
			rest = rest[i+1:]
		}
		out.Load = parseLoad(rest)
	case redcon.String:
		if string(r.Data) == "PONG" {
			out.outcome, out.keep = policy.Succeeded, true
		}
	case redcon.Bulk:
		if r.Data != nil {
			out.outcome, out.keep, out.Load = policy.Succeeded, true, parseLoad(string(r.Data))
		}
	case redcon.Array: // the value, the figures on use, the load report: the latter may be unreadable
		if r.Count != 3 {
			break
		}
		i := 0
		r.ForEach(func(e redcon.RESP) bool {
			switch {
			case i == 0 && e.Type == redcon.Bulk && e.Data != nil:
				out.outcome, out.keep, out.Value = policy.Succeeded, true, append(make([]byte, 0, len(e.Data)), e.Data...)
			case i == 2 && e.Type == redcon.Bulk:
				out.Load = parseLoad(string(e.Data))
			}
			i++
			return true
		})
	}
	return out
}

// parseLoad reads a load report such as inflight=7,queue=2; nil if it is none. One spoilt figure spoils it all: the
// module averages what it is told, and would not forget a figure that is no number.
func parseLoad(s string) policy.Load {
	load := policy.Load{}
	for pair := range strings.SplitSeq(s, ",") {
		k, v, _ := strings.Cut(pair, "=")
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || k == "" || !(x >= 0 && x <= mostLoad) {
			return nil
		}
		load[k] = x
	}
	return load
}
