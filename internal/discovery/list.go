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

// List is the endpoint list, or the entries of it that have changed.
type List struct {
	Rev      int64    `json:"rev"` // grows with each change
	Complete bool     `json:"all"` // all entries: a backend that isn't among them is gone
	Targets  []Target `json:"targets"`
}

// The states of an entry that are distinguished; any other one counts as draining.
const (
	Deleted = "DELETED" // among changes only: the backend is gone
	serving = "SERVING"
)

// Target is the entry of one backend.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // host:port
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"` // relative
	BootMS   int64   `json:"boot_ms"`       // start of the backend's process, milliseconds on the platform's clock
}

// Backend returns the entry as the policy module has it. A state that isn't known is draining.
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
		backend.State = policy.Gone
	}
	return backend
}

// Usable returns the list without the entries that can't be used. Of an entry that is invalid and doesn't serve, the
// state is used nevertheless: a draining backend must not get further requests.
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

// check returns an error that says what makes the entry unusable. One that is deleted needs no address.
func (t Target) check() error {
	if t.UID == "" {
		return errors.New("no id")
	}
	if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && t.State != Deleted {
		return fmt.Errorf("%s: %w", t.UID, err)
	}
	if t.BootMS < 0 || t.BootMS > math.MaxInt64/int64(time.Millisecond) {
		return fmt.Errorf("%s: started at %d", t.UID, t.BootMS)
	}
	return nil
}

// isUnreadable reports whether a decoder's error lies in the list itself, so that a further request would fail too.
func isUnreadable(err error) bool {
	var syntax *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &mistyped) || errors.Is(err, errListTooLong)
}
