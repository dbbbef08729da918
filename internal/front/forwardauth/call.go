package forwardauth

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hitchspring/internal/core"
	"hitchspring/policy"
)

const (
	maxIDBytes   = 64      // maximum length of a request's id
	maxKeyBytes  = 64      // maximum length of an idempotency key
	channelLimit = 1 << 33 // channel numbers are smaller than this
	callSize     = 256     // size in bytes that a call counts as in the core

	maxChannelDigits = 16
)

// call is a parsed call: a request for which a proxy wants a lease.
type call struct {
	request     *core.Request
	id          string // from the caller, or else unique
	fingerprint uint64 // hash of the parameters; all calls with this id must have the same
}

// parseCall builds the request from a call's headers. Parameters that the matching
// rule sets take precedence over the headers. The text of the error is sent to the
// caller and names the parameter and its value.
func (f *Front) parseCall(r *http.Request, arrivedAt time.Time) (call, error) {
	request := &core.Request{}
	class, err := f.parseTarget(r, request)
	if err != nil {
		return call{}, err
	}
	if err := f.parseUnits(f.header(r, "Units"), request); err != nil {
		return call{}, err
	}
	if err := f.parseSpread(f.header(r, "Set"), request); err != nil {
		return call{}, err
	}
	wait, err := parseDeadline(f.header(r, "Deadline-Ms"), class.Deadline)
	if err != nil {
		return call{}, err
	}
	request.GiveUpAt = f.core.GiveUpAt(class, arrivedAt, wait)
	key := f.header(r, "Key")
	if class.Effect == policy.Keyed && (key == "" || len(key) > maxKeyBytes) {
		return call{}, fmt.Errorf("class %s wants a key of up to %d characters", request.Class, maxKeyBytes)
	}
	request.ClientID = f.lastRequestID.Add(1)
	request.Size = callSize
	id := f.header(r, "Id")
	if id == "" {
		id = fmt.Sprintf("\x00%d", request.ClientID) // unique: a header value can't contain a zero byte
	}
	if len(id) > maxIDBytes {
		return call{}, fmt.Errorf("id %q is longer than %d characters", id[:maxIDBytes], maxIDBytes)
	}
	return call{request: request, id: id, fingerprint: fingerprint(request, key)}, nil
}

// header returns the value of the front's own header with this name after the prefix.
func (f *Front) header(r *http.Request, name string) string {
	return r.Header.Get(f.config.Header + "-" + name)
}

// parseTarget sets the class, plan and tenant of a request by the rule that matches
// its method and path. Headers supply only what the rule does not set.
func (f *Front) parseTarget(r *http.Request, request *core.Request) (policy.Class, error) {
	method, target := originalRequest(r, f.config.Prefix)
	segments, err := SplitPath(target)
	if err != nil {
		return policy.Class{}, err
	}
	rule, channel, matched := f.table.Load().Match(method, segments)
	request.Class, request.Plan, request.Units = rule.Class, rule.Plan, rule.Units
	if !matched {
		request.Class = f.header(r, "Class")
	}
	if request.Plan == "" {
		request.Plan = f.header(r, "Plan")
	}
	if channel == "" {
		channel = f.header(r, "Channel")
	}
	class, known := f.core.Class(request.Class)
	switch {
	case request.Class == "":
		return class, fmt.Errorf("no rule fits %s %s, and %s-Class is missing", method, target, f.config.Header)
	case !known:
		return class, fmt.Errorf("class %q is none of the settings", request.Class)
	case !f.core.Plan(request.Plan):
		return class, fmt.Errorf("plan %q is none of the settings", request.Plan)
	}
	number, err := strconv.ParseUint(channel, 16, 64)
	if err != nil || number >= channelLimit || len(channel) > maxChannelDigits {
		return class, fmt.Errorf("channel %q is not up to 16 hex digits below 2^33", channel)
	}
	request.Tenant = fmt.Sprintf("%016x", number) // as in the RESP2 front, so that both share the tenant's quota
	return class, nil
}

// parseUnits sets the units of a request unless its rule has set them. The default
// is 1.
func (f *Front) parseUnits(text string, request *core.Request) (err error) {
	if text != "" && request.Units == 0 {
		if request.Units, err = strconv.ParseFloat(text, 64); err != nil {
			return fmt.Errorf("units %q is no number", text)
		}
	}
	if request.Units == 0 {
		request.Units = 1
	}
	if !(request.Units > 0) || request.Units > f.core.MaxUnits() {
		return fmt.Errorf("units %v is out of range, up to %v", request.Units, f.core.MaxUnits())
	}
	return nil
}

// parseSpread sets the instances that receive the tenant's requests from text of the
// form SPREAD/FIRST: their number and the first one. The default is all instances.
func (f *Front) parseSpread(text string, request *core.Request) error {
	instances := f.core.Instances()
	request.Spread, request.First = instances, 0
	if text == "" {
		return nil
	}
	_, err := fmt.Sscanf(text, "%d/%d", &request.Spread, &request.First)
	if err != nil || request.Spread < 1 || request.Spread > instances ||
		request.First < 0 || request.First >= instances {
		return fmt.Errorf("set %q is no SPREAD/FIRST within %d instances", text, instances)
	}
	return nil
}

// parseDeadline parses the time that the client waits, in milliseconds. The core
// limits it.
func parseDeadline(text string, byDefault time.Duration) (time.Duration, error) {
	if text == "" {
		return byDefault, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return 0, fmt.Errorf("deadline %q is no number of milliseconds above 0", text)
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// fingerprint returns a hash of the parameters that must be equal in all calls with
// the same id.
func fingerprint(request *core.Request, key string) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s\x00%s\x00%s\x00%v\x00%d/%d\x00%s",
		request.Class, request.Plan, request.Tenant, request.Units, request.Spread, request.First, key)
	return hash.Sum64()
}

// originalRequest returns the method and target of the request that the proxy wants
// to forward. They come from X-Forwarded-Method and X-Forwarded-Uri (Traefik, Caddy),
// from X-Original-Method and X-Original-Uri (nginx, if configured to set them), or from
// the call itself, without the prefix (Envoy).
func originalRequest(r *http.Request, prefix string) (method, target string) {
	method, target = r.Header.Get("X-Forwarded-Method"), r.Header.Get("X-Forwarded-Uri")
	if target == "" {
		method, target = r.Header.Get("X-Original-Method"), r.Header.Get("X-Original-Uri")
	}
	if target == "" {
		method, target = r.Method, strings.TrimPrefix(r.RequestURI, strings.TrimSuffix(prefix, "/"))
		if target == "" {
			target = "/"
		}
	}
	if method == "" {
		method = r.Method
	}
	return method, target
}
