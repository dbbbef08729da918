package resp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/core"
	"hitchspring/logic"
)

// command is a request as it came, to be passed on to a node.
type command struct {
	args  [][]byte // name, customer, id, fields, body
	dFrom int      // where the value of d stands in the fields
	dTo   int
}

// Encode is the client's own command, with the time that is left for it.
func (c *command) Encode(left time.Duration) []byte {
	b := redcon.AppendArray(make([]byte, 0, 192+len(c.args[len(c.args)-1])), len(c.args))
	for i, arg := range c.args {
		if i == 3 {
			fields := append(make([]byte, 0, len(arg)+8), arg[:c.dFrom]...)
			fields = strconv.AppendInt(fields, max(1, left.Milliseconds()), 10)
			arg = append(fields, arg[c.dTo:]...)
		}
		b = redcon.AppendBulk(b, arg)
	}
	return b
}

// parse checks a request; it goes on only if a backend would take it.
func (f *Front) parse(args [][]byte, at time.Time) (*core.Request, error) {
	do := string(args[0]) == "Q.DO"
	if len(args) < 4 || len(args) > 5 {
		return nil, fmt.Errorf("%s wants a customer, an id, fields and at most a body", args[0])
	}
	customer, err := hex16(args[1])
	if err != nil || customer >= 1<<33 {
		return nil, errors.New("the customer is not 16 hex digits below 2^33")
	}
	r, cmd := &core.Request{}, &command{}
	if r.Key, err = hex16(args[2]); err != nil {
		return nil, errors.New("the id is not 16 hex digits")
	}
	fields := string(args[3])
	r.Customer = strings.ToLower(string(args[1])) // one number, one customer
	var d, spread, first uint64
	var key string
	seen := map[string]bool{}
	for from := 0; from <= len(fields); {
		part, _, _ := strings.Cut(fields[from:], ",")
		name, v, ok := strings.Cut(part, "=")
		if !ok || name == "" || seen[name] {
			return nil, errors.New("the fields are not a list of different names and values")
		}
		seen[name] = true
		var err error
		switch name {
		case "c":
			r.Class = v
		case "t":
			r.Plan = v
		case "d":
			d, err = strconv.ParseUint(v, 10, 31)
			cmd.dFrom, cmd.dTo = from+2, from+len(part)
		case "k":
			key = v
		case "units":
			if strings.Trim(v, "0123456789.") != "" {
				return nil, errors.New("field units is not a plain number")
			}
			r.Units, err = strconv.ParseFloat(v, 64)
		case "spread":
			spread, err = strconv.ParseUint(v, 10, 31)
		case "first":
			first, err = strconv.ParseUint(v, 10, 31)
		}
		if err != nil {
			return nil, fmt.Errorf("field %s cannot be read", name)
		}
		from += len(part) + 1
	}
	class, known := f.core.Class(r.Class)
	switch {
	case !known:
		return nil, errors.New("unknown class")
	case !f.core.Plan(r.Plan):
		return nil, errors.New("unknown plan")
	case do == (class.Effect == logic.Safe):
		return nil, errors.New("the class does not go with the command")
	case class.Effect == logic.Keyed && (key == "" || len(key) > mostKey):
		return nil, errors.New("field k is missing or too long")
	case d == 0 || !seen["first"]:
		return nil, errors.New("field d or first is missing or nought")
	case spread == 0 || spread > uint64(f.core.Gateways()) || first >= uint64(f.core.Gateways()):
		return nil, errors.New("there is no such set of gateways")
	case !(r.Units > 0) || r.Units > f.core.MostUnits():
		return nil, errors.New("field units is missing or out of range")
	}
	// The module takes a customer's plan and set from the first request that names it, so only what can be true
	// goes on. A client that says it will wait for ever is not believed.
	r.Spread, r.First = int(spread), int(first)
	r.GiveUpAt = f.core.GiveUpAt(class, at, time.Duration(d)*time.Millisecond)
	for _, a := range args { // the buffer is the connection's
		cmd.args = append(cmd.args, append(make([]byte, 0, len(a)), a...))
		r.Size += len(a)
	}
	r.Command, r.Idem = cmd, key
	return r, nil
}

// Words are the command as it came.
func (c *command) Words() [][]byte { return c.args }

// Rebuild makes a request of a command's words, as another instance has them; it is checked like a client's.
func (f *Front) Rebuild(words [][]byte) (*core.Request, error) {
	if len(words) == 0 {
		return nil, errors.New("no words")
	}
	return f.parse(words, time.Now())
}

func hex16(b []byte) (uint64, error) {
	if len(b) != 16 {
		return 0, errors.New("not 16 digits")
	}
	return strconv.ParseUint(string(b), 16, 64)
}
