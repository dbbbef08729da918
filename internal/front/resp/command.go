package resp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/core"
	"hitchspring/internal/resp"
	"hitchspring/policy"
)

const (
	maxKeyBytes      = 256     // maximum length of an idempotency key
	tenantUpperBound = 1 << 33 // tenant numbers are smaller than this
)

// Positions of the arguments of Q.ASK and Q.DO.
const (
	argName = iota
	argTenant
	argID
	argFields
	argBody // optional
	maxArgs
)

// command holds the arguments of a request as the client sent them, for forwarding
// to a backend.
type command struct {
	args          [][]byte // name, tenant, id, fields, body
	deadlineStart int      // offset of the value of d in the fields argument
	deadlineEnd   int      // offset of its end
}

// minSharedBody is the length from which the encoded command shares the memory of a
// body instead of copying it. sharedBodyTail bytes are copied nevertheless, to be
// written together with the line end after them.
const (
	minSharedBody  = 16 << 10
	sharedBodyTail = 1 << 10
)

// Encode returns the client's command in RESP2 with the value of field d replaced
// by the remaining time, for a backend.
func (c *command) Encode(left time.Duration) [][]byte {
	args, body := c.args, []byte(nil)
	if last := len(args) - 1; last == argBody && len(args[last]) >= minSharedBody {
		args, body = args[:last], args[last]
	}
	b := redcon.AppendArray(make([]byte, 0, 192+len(args[len(args)-1])), len(c.args))
	for i, arg := range args {
		if i == argFields {
			fields := append(make([]byte, 0, len(arg)+8), arg[:c.deadlineStart]...)
			fields = strconv.AppendInt(fields, max(1, left.Milliseconds()), 10)
			arg = append(fields, arg[c.deadlineEnd:]...)
		}
		b = redcon.AppendBulk(b, arg)
	}
	if body == nil {
		return [][]byte{b}
	}
	b = append(strconv.AppendInt(append(b, '$'), int64(len(body)), 10), '\r', '\n')
	shared := len(body) - sharedBodyTail
	tail := append(append(make([]byte, 0, sharedBodyTail+2), body[shared:]...), '\r', '\n')
	return [][]byte{b, body[:shared], tail}
}

// requestFields holds the parsed fields argument of a request. Unknown fields are
// not interpreted, but are forwarded to the backend.
type requestFields struct {
	class          string  // c
	plan           string  // t
	idempotencyKey string  // k
	units          float64 // units
	deadlineMillis uint64  // d
	spread         uint64  // spread
	first          uint64  // first
	hasFirst       bool    // the list contains the field first
	deadlineStart  int     // offset of the value of d in the list
	deadlineEnd    int     // offset of its end
}

// parsedCommand is a valid request whose arguments are still in the read buffer of
// its connection.
type parsedCommand struct {
	args   [][]byte
	id     uint64
	fields requestFields
	class  policy.Class
}

// size returns the number of bytes of all arguments.
func (p parsedCommand) size() (bytes int) {
	for _, arg := range p.args {
		bytes += len(arg)
	}
	return bytes
}

// parseRequest validates the arguments of a command and converts them to a request.
// The text of the error is sent to the client.
func (f *Front) parseRequest(args [][]byte, arrivedAt time.Time) (*core.Request, error) {
	parsed, err := f.parseCommand(args)
	if err != nil {
		return nil, err
	}
	return f.newRequest(parsed, arrivedAt), nil
}

// parseCommand validates the arguments of a command. It copies none of them, and
// checks their lengths first, so that an invalid command costs little memory beyond
// its own.
func (f *Front) parseCommand(args [][]byte) (parsedCommand, error) {
	parsed := parsedCommand{args: args}
	if len(args) <= argFields || len(args) > maxArgs {
		return parsed, fmt.Errorf("%s wants a customer, an id, fields and at most a body", args[argName])
	}
	if len(args[argFields]) > resp.MaxValueBytes {
		return parsed, fmt.Errorf("the fields are longer than %d bytes", resp.MaxValueBytes)
	}
	tenant, err := parseHex16(args[argTenant])
	if err != nil || tenant >= tenantUpperBound {
		return parsed, errors.New("the customer is not 16 hex digits below 2^33")
	}
	parsed.id, err = parseHex16(args[argID])
	if err != nil {
		return parsed, errors.New("the id is not 16 hex digits")
	}
	parsed.fields, err = parseFields(string(args[argFields]))
	if err != nil {
		return parsed, err
	}
	parsed.class, err = f.checkFields(parsed.fields, string(args[argName]) == "Q.DO")
	return parsed, err
}

// newRequest converts a valid command to a request. It copies the arguments, since
// the connection reuses its read buffer.
func (f *Front) newRequest(parsed parsedCommand, arrivedAt time.Time) *core.Request {
	fields := parsed.fields
	// Cloned: a substring would keep the complete list in memory, and the core keeps
	// the record of a request beyond its answer.
	request := &core.Request{ClientID: parsed.id, IdempotencyKey: strings.Clone(fields.idempotencyKey)}
	request.Tenant = strings.ToLower(string(parsed.args[argTenant])) // hex digits in either case denote the same tenant
	request.ReceivedAt = arrivedAt
	request.Class = parsed.class.Name
	request.Plan = strings.Clone(fields.plan)
	request.Units = fields.units
	request.Spread = int(fields.spread)
	request.First = int(fields.first)
	// The core limits the waiting time that the client states.
	request.GiveUpAt = f.core.GiveUpAt(parsed.class, arrivedAt, time.Duration(fields.deadlineMillis)*time.Millisecond)
	cmd := &command{deadlineStart: fields.deadlineStart, deadlineEnd: fields.deadlineEnd}
	for _, arg := range parsed.args {
		cmd.args = append(cmd.args, append(make([]byte, 0, len(arg)), arg...))
	}
	request.Size = parsed.size()
	request.Command = cmd
	return request
}

// errFieldList is the error for a fields argument of invalid form.
var errFieldList = errors.New("the fields are not a list of different names and values")

// parseFields parses a list of the form name=value,... A repeated name is an error.
func parseFields(list string) (requestFields, error) {
	var fields requestFields
	var names fieldNames
	for start := 0; start <= len(list); {
		field, _, _ := strings.Cut(list[start:], ",")
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" || !names.add(name, start) {
			return requestFields{}, errFieldList
		}
		if name == "d" {
			fields.deadlineStart, fields.deadlineEnd = start+len("d="), start+len(field)
		}
		if err := fields.set(name, value); err != nil {
			return requestFields{}, err
		}
		start += len(field) + 1
	}
	if names.repeatsUnknown(list) {
		return requestFields{}, errFieldList
	}
	fields.hasFirst = names.contains("first")
	return fields, nil
}

// set parses and stores the value of one field. It ignores unknown fields.
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

// checkFields validates a request's fields against the current settings.
// mayHaveEffects is whether the command allows side effects: Q.DO does, Q.ASK does
// not. The policy engine takes a tenant's plan and set of instances from the first
// request of the tenant, so invalid values have to be rejected here.
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

// Rebuild converts the arguments of a command that another instance received to a
// request. They are validated like those of a client.
func (f *Front) Rebuild(args [][]byte) (*core.Request, error) {
	if len(args) == 0 {
		return nil, errors.New("no words")
	}
	return f.parseRequest(args, time.Now())
}

// parseHex16 parses a number of exactly 16 hex digits.
func parseHex16(b []byte) (uint64, error) {
	if len(b) != 16 {
		return 0, errors.New("not 16 digits")
	}
	return strconv.ParseUint(string(b), 16, 64)
}
