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
	maxKeyBytes = 256     // of an idempotency key
	tenantLimit = 1 << 33 // tenants' numbers are below
)

// Positions of a request's arguments.
const (
	argName = iota
	argTenant
	argID
	argFields
	argBody // may be missing
	maxArgs
)

// command is a request as the client sent it, to be forwarded to a backend.
type command struct {
	args          [][]byte // name, tenant, id, fields, body
	deadlineStart int      // where the value of d begins in the fields
	deadlineEnd   int      // where it ends
}

// Encode returns the client's own command with the time that is left for it, for
// a backend.
func (c *command) Encode(left time.Duration) []byte {
	b := redcon.AppendArray(make([]byte, 0, 192+len(c.args[len(c.args)-1])), len(c.args))
	for i, arg := range c.args {
		if i == argFields {
			fields := append(make([]byte, 0, len(arg)+8), arg[:c.deadlineStart]...)
			fields = strconv.AppendInt(fields, max(1, left.Milliseconds()), 10)
			arg = append(fields, arg[c.deadlineEnd:]...)
		}
		b = redcon.AppendBulk(b, arg)
	}
	return b
}

// requestFields are the values of a request's list of fields. Unknown fields are
// forwarded unread.
type requestFields struct {
	class          string  // c
	plan           string  // t
	idempotencyKey string  // k
	units          float64 // units
	deadlineMillis uint64  // d
	spread         uint64  // spread
	first          uint64  // first
	hasFirst       bool    // the list has a field first
	deadlineStart  int     // where the value of d begins in the list
	deadlineEnd    int     // where it ends
}

// parseRequest checks a request and returns it, if a backend would take it. The
// error says what is wrong, for the client.
func (f *Front) parseRequest(args [][]byte, arrivedAt time.Time) (*core.Request, error) {
	if len(args) <= argFields || len(args) > maxArgs {
		return nil, fmt.Errorf("%s wants a customer, an id, fields and at most a body", args[argName])
	}
	tenant, err := parseHex16(args[argTenant])
	if err != nil || tenant >= tenantLimit {
		return nil, errors.New("the customer is not 16 hex digits below 2^33")
	}
	id, err := parseHex16(args[argID])
	if err != nil {
		return nil, errors.New("the id is not 16 hex digits")
	}
	fields, err := parseFields(string(args[argFields]))
	if err != nil {
		return nil, err
	}
	class, err := f.checkFields(fields, string(args[argName]) == "Q.DO")
	if err != nil {
		return nil, err
	}
	request := &core.Request{ClientID: id, IdempotencyKey: fields.idempotencyKey}
	request.Tenant = strings.ToLower(string(args[argTenant])) // a tenant is a number, in capitals or not
	request.Class = fields.class
	request.Plan = fields.plan
	request.Units = fields.units
	request.Spread = int(fields.spread)
	request.First = int(fields.first)
	// The core bounds the time that a client says it will wait.
	request.GiveUpAt = f.core.GiveUpAt(class, arrivedAt, time.Duration(fields.deadlineMillis)*time.Millisecond)
	cmd := &command{deadlineStart: fields.deadlineStart, deadlineEnd: fields.deadlineEnd}
	for _, arg := range args { // the buffer belongs to the connection
		cmd.args = append(cmd.args, append(make([]byte, 0, len(arg)), arg...))
		request.Size += len(arg)
	}
	request.Command = cmd
	return request, nil
}

// parseFields reads a list of fields with different names: name=value,...
func parseFields(list string) (requestFields, error) {
	var fields requestFields
	seen := map[string]bool{}
	for start := 0; start <= len(list); {
		field, _, _ := strings.Cut(list[start:], ",")
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" || seen[name] {
			return requestFields{}, errors.New("the fields are not a list of different names and values")
		}
		seen[name] = true
		if name == "d" {
			fields.deadlineStart, fields.deadlineEnd = start+len("d="), start+len(field)
		}
		if err := fields.set(name, value); err != nil {
			return requestFields{}, err
		}
		start += len(field) + 1
	}
	fields.hasFirst = seen["first"]
	return fields, nil
}

// set sets the value of one field.
func (f *requestFields) set(name, value string) (err error) {
	switch name {
	case "c":
		f.class = value
	case "t":
		f.plan = value
	case "k":
		f.idempotencyKey = value
	case "d":
		f.deadlineMillis, err = strconv.ParseUint(value, 10, 31)
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

// checkFields compares a request's fields with the settings in force.
// mayHaveEffects is whether the command's name allows effects. The engine takes a
// tenant's plan and set of instances from the first request that names it, so
// impossible values are rejected here.
func (f *Front) checkFields(fields requestFields, mayHaveEffects bool) (policy.Class, error) {
	class, known := f.core.Class(fields.class)
	instances := uint64(f.core.Instances())
	switch {
	case !known:
		return class, errors.New("unknown class")
	case !f.core.Plan(fields.plan):
		return class, errors.New("unknown plan")
	case mayHaveEffects == (class.Effect == policy.Safe):
		return class, errors.New("the class does not go with the command")
	case class.Effect == policy.Keyed && (fields.idempotencyKey == "" || len(fields.idempotencyKey) > maxKeyBytes):
		return class, errors.New("field k is missing or too long")
	case fields.deadlineMillis == 0 || !fields.hasFirst:
		return class, errors.New("field d or first is missing or nought")
	case fields.spread == 0 || fields.spread > instances || fields.first >= instances:
		return class, errors.New("there is no such set of gateways")
	case !(fields.units > 0) || fields.units > f.core.MaxUnits():
		return class, errors.New("field units is missing or out of range")
	}
	return class, nil
}

// Args returns the command as the client sent it.
func (c *command) Args() [][]byte { return c.args }

// Rebuild makes a request of a command that another instance has received. It is
// checked like a client's.
func (f *Front) Rebuild(args [][]byte) (*core.Request, error) {
	if len(args) == 0 {
		return nil, errors.New("no words")
	}
	return f.parseRequest(args, time.Now())
}

// hex16 reads a number of 16 hex digits.
func parseHex16(b []byte) (uint64, error) {
	if len(b) != 16 {
		return 0, errors.New("not 16 digits")
	}
	return strconv.ParseUint(string(b), 16, 64)
}
