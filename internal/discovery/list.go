package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"time"

	"hitchspring/policy"
)

// List is the complete endpoint list or a change, which holds only the changed entries.
type List struct {
	Rev      int64    `json:"rev"` // revision; it grows with each change
	Complete bool     `json:"all"` // all entries are included: a backend without one is removed
	Targets  []Target `json:"targets"`
}

// The known states of an entry; any other state means draining.
const (
	Deleted = "DELETED" // only in changes: the backend is removed
	serving = "SERVING"
)

// Target is the entry of one backend in the endpoint list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // host:port
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"` // relative
	BootMS   int64   `json:"boot_ms"`       // process start on the platform's clock, in milliseconds
}

// Backend converts the entry to the policy module's type. An unknown state means draining.
func (t Target) Backend() policy.Backend {
	backend := policy.Backend{
		ID:      policy.BackendID(t.UID),
		Zone:    t.Zone,
		Kind:    t.Model,
		Cell:    t.Group,
		Size:    t.Capacity,
		Started: time.Duration(t.BootMS) * time.Millisecond,
	}
	switch t.State {
	case serving:
		backend.State = policy.Running
	case Deleted:
		backend.State = policy.Removed
	}
	return backend
}

// Serves reports whether the entry says that the backend serves.
func (t Target) Serves() bool { return t.State == serving }

// Usable returns the list without invalid entries, except that an invalid entry of a backend that doesn't serve remains
// with its state alone: a draining backend must not get further requests.
func (l List) Usable(log *slog.Logger) List {
	usable := make([]Target, 0, len(l.Targets))
	for _, t := range l.Targets {
		err := t.check()
		switch {
		case err == nil:
		case t.UID == "" || t.State == serving:
			log.Warn("endpoint list entry ignored", "err", err)
			continue
		default:
			log.Warn("endpoint list entry invalid, using only its state", "err", err, "state", t.State)
			t.Endpoint = ""
			t.BootMS = 0
		}
		usable = append(usable, t)
	}
	l.Targets = usable
	return l
}

// check returns an error if the entry is invalid. A deleted entry needs no address.
func (t Target) check() error {
	if t.UID == "" {
		return errors.New("missing uid")
	}
	if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && t.State != Deleted {
		return fmt.Errorf("%s: %w", t.UID, err)
	}
	if t.BootMS < 0 || t.BootMS > math.MaxInt64/int64(time.Millisecond) {
		return fmt.Errorf("%s: start time %d out of range", t.UID, t.BootMS)
	}
	return nil
}

// isUnreadable reports whether an error is caused by the content of the list, so that a retry would fail too.
func isUnreadable(err error) bool {
	var syntax *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &mistyped) || errors.Is(err, errListTooLong)
}
