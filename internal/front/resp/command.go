package resp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/core"
	"hitchspring/policy"
)

const (
	mostKey      = 256     // bytes of an idempotency key
	mostCustomer = 1 << 33 // a customer's number is below
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

// fields are the values of a request's list of fields; those that the front doesn't know are passed on unread.
type fields struct {
	class, plan, key string
	units            float64
	deadline         uint64 // milliseconds
	spread, first    uint64
	hasFirst         bool
	dFrom, dTo       int // where the value of d stands in the list
}

// parse checks a request that came at a time; it goes on only if a backend would take it. The error names what is wrong.
func (f *Front) parse(args [][]byte, at time.Time) (*core.Request, error) {
	if len(args) < 4 || len(args) > 5 {
		return nil, fmt.Errorf("%s wants a customer, an id, fields and at most a body", args[0])
	}
	customer, err := hex16(args[1])
	if err != nil || customer >= mostCustomer {
		return nil, errors.New("the customer is not 16 hex digits below 2^33")
	}
	id, err := hex16(args[2])
	if err != nil {
		return nil, errors.New("the id is not 16 hex digits")
	}
	given, err := parseFields(string(args[3]))
	if err != nil {
		return nil, err
	}
	class, err := f.check(given, string(args[0]) == "Q.DO")
	if err != nil {
		return nil, err
	}
	r := &core.Request{}
	r.ClientID, r.Tenant = id, strings.ToLower(string(args[1])) // one number, one customer
	r.Class, r.Plan, r.Units, r.IdempotencyKey = given.class, given.plan, given.units, given.key
	r.Spread, r.First = int(given.spread), int(given.first)
	// A client that says it will wait for ever is not believed.
	r.GiveUpAt = f.core.GiveUpAt(class, at, time.Duration(given.deadline)*time.Millisecond)
	cmd := &command{dFrom: given.dFrom, dTo: given.dTo}
	for _, a := range args { // the buffer is the connection's
		cmd.args = append(cmd.args, append(make([]byte, 0, len(a)), a...))
		r.Size += len(a)
	}
	r.Command = cmd
	return r, nil
}

// parseFields reads a list of different names and values: name=value,...
func parseFields(list string) (fields, error) {
	var given fields
	seen := map[string]bool{}
	for from := 0; from <= len(list); {
		part, _, _ := strings.Cut(list[from:], ",")
		name, value, ok := strings.Cut(part, "=")
		if !ok || name == "" || seen[name] {
			return fields{}, errors.New("the fields are not a list of different names and values")
		}
		seen[name] = true
		if name == "d" {
			given.dFrom, given.dTo = from+len("d="), from+len(part)
		}
		if err := given.set(name, value); err != nil {
			return fields{}, err
		}
		from += len(part) + 1
	}
	given.hasFirst = seen["first"]
	return given, nil
}

// set puts the value of one field in its place.
func (f *fields) set(name, value string) (err error) {
	switch name {
	case "c":
		f.class = value
	case "t":
		f.plan = value
	case "k":
		f.key = value
	case "d":
		f.deadline, err = strconv.ParseUint(value, 10, 31)
	case "spread":
		f.spread, err = strconv.ParseUint(value, 10, 31)
	case "first":
		f.first, err = strconv.ParseUint(value, 10, 31)
	case "units":
		if strings.Trim(value, "0123456789.") != "" {
			return errors.New("field units is not a plain number")
		}
		f.units, err = strconv.ParseFloat(value, 64)
	}
	if err != nil {
		return fmt.Errorf("field %s cannot be read", name)
	}
	return nil
}

// check holds a request's fields against the settings in force; do: the command is one that may have effects. The module takes a customer's
// plan and set from the first request that names it, so only what can be true goes on.
func (f *Front) check(given fields, do bool) (policy.Class, error) {
	class, known := f.core.Class(given.class)
	gateways := uint64(f.core.Instances())
	switch {
	case !known:
		return class, errors.New("unknown class")
	case !f.core.Plan(given.plan):
		return class, errors.New("unknown plan")
	case do == (class.Effect == policy.Safe):
		return class, errors.New("the class does not go with the command")
	case class.Effect == policy.Keyed && (given.key == "" || len(given.key) > mostKey):
		return class, errors.New("field k is missing or too long")
	case given.deadline == 0 || !given.hasFirst:
		return class, errors.New("field d or first is missing or nought")
	case given.spread == 0 || given.spread > gateways || given.first >= gateways:
		return class, errors.New("there is no such set of gateways")
	case !(given.units > 0) || given.units > f.core.MaxUnits():
		return class, errors.New("field units is missing or out of range")
	}
	return class, nil
}

// Words are the command as it came.
func (c *command) Args() [][]byte { return c.args }

// Rebuild makes a request of a command's words, as another instance has them; it is checked like a client's.
func (f *Front) Rebuild(words [][]byte) (*core.Request, error) {
	if len(words) == 0 {
		return nil, errors.New("no words")
	}
	return f.parse(words, time.Now())
}

// hex16 reads a number of 16 hex digits.
func hex16(b []byte) (uint64, error) {
	if len(b) != 16 {
		return 0, errors.New("not 16 digits")
	}
	return strconv.ParseUint(string(b), 16, 64)
}
