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
	maxKeyBytes = 256     // bytes of an idempotency key
	tenantLimit = 1 << 33 // a customer's number is below
)

// command is a request as it came, to be passed on to a node.
type command struct {
	args          [][]byte // name, customer, id, fields, body
	deadlineStart int      // where the value of d stands in the fields
	deadlineEnd   int
}

// Encode is the client's own command, with the time that is left for it.
func (c *command) Encode(left time.Duration) []byte {
	b := redcon.AppendArray(make([]byte, 0, 192+len(c.args[len(c.args)-1])), len(c.args))
	for i, arg := range c.args {
		if i == 3 {
			fields := append(make([]byte, 0, len(arg)+8), arg[:c.deadlineStart]...)
			fields = strconv.AppendInt(fields, max(1, left.Milliseconds()), 10)
			arg = append(fields, arg[c.deadlineEnd:]...)
		}
		b = redcon.AppendBulk(b, arg)
	}
	return b
}

// fields are the values of a request's list of fields; those that the front doesn't know are passed on unread.
type requestFields struct {
	class, plan, idempotencyKey string
	units                       float64
	deadlineMillis              uint64 // milliseconds
	spread, first               uint64
	hasFirst                    bool
	deadlineStart, deadlineEnd  int // where the value of d stands in the list
}

// parse checks a request that came at a time; it goes on only if a backend would take it. The error names what is wrong.
func (f *Front) parseRequest(args [][]byte, arrivedAt time.Time) (*core.Request, error) {
	if len(args) < 4 || len(args) > 5 {
		return nil, fmt.Errorf("%s wants a customer, an id, fields and at most a body", args[0])
	}
	tenant, err := parseHex16(args[1])
	if err != nil || tenant >= tenantLimit {
		return nil, errors.New("the customer is not 16 hex digits below 2^33")
	}
	id, err := parseHex16(args[2])
	if err != nil {
		return nil, errors.New("the id is not 16 hex digits")
	}
	fields, err := parseFields(string(args[3]))
	if err != nil {
		return nil, err
	}
	class, err := f.checkFields(fields, string(args[0]) == "Q.DO")
	if err != nil {
		return nil, err
	}
	request := &core.Request{}
	request.ClientID, request.Tenant = id, strings.ToLower(string(args[1])) // one number, one customer
	request.Class, request.Plan, request.Units, request.IdempotencyKey = fields.class, fields.plan, fields.units, fields.idempotencyKey
	request.Spread, request.First = int(fields.spread), int(fields.first)
	// A client that says it will wait for ever is not believed.
	request.GiveUpAt = f.core.GiveUpAt(class, arrivedAt, time.Duration(fields.deadlineMillis)*time.Millisecond)
	cmd := &command{deadlineStart: fields.deadlineStart, deadlineEnd: fields.deadlineEnd}
	for _, arg := range args { // the buffer is the connection's
		cmd.args = append(cmd.args, append(make([]byte, 0, len(arg)), arg...))
		request.Size += len(arg)
	}
	request.Command = cmd
	return request, nil
}

// parseFields reads a list of different names and values: name=value,...
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

// set puts the value of one field in its place.
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

// check holds a request's fields against the settings in force; do: the command is one that may have effects. The module takes a customer's
// plan and set from the first request that names it, so only what can be true goes on.
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

// Words are the command as it came.
func (c *command) Args() [][]byte { return c.args }

// Rebuild makes a request of a command's words, as another instance has them; it is checked like a client's.
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
