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

// List is the list of backends, or the entries of it that changed.
type List struct {
	Rev      int64    `json:"rev"`
	Complete bool     `json:"all"` // the whole list: a backend that it doesn't name is gone
	Targets  []Target `json:"targets"`
}

// The states of an entry that are told apart; any other one is draining.
const (
	Deleted = "DELETED" // among changes only: the backend is gone
	serving = "SERVING"
)

// Target is one backend of the list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// Server is the entry as the decision module has it; an unknown state is draining.
func (t Target) Server() policy.Backend {
	s := policy.Backend{
		ID: policy.BackendID(t.UID), Zone: t.Zone, Kind: t.Model, Cell: t.Group, Size: t.Capacity,
		Started: time.Duration(t.BootMS) * time.Millisecond,
	}
	switch t.State {
	case serving:
		s.State = policy.Running
	case Deleted:
		s.State = policy.Gone
	}
	return s
}

// Usable is the list without the entries that can't be used. That a backend drains is heard also where the rest of its entry
// can't be used: it is owed that nothing more is sent to it.
func (f List) Usable(log *slog.Logger) List {
	usable := make([]Target, 0, len(f.Targets))
	for _, t := range f.Targets {
		err := t.check()
		switch {
		case err == nil:
		case t.UID == "" || t.State == serving:
			log.Warn("an entry of the list is left aside", "err", err)
			continue
		default:
			log.Warn("of an entry of the list only the state is used", "err", err, "state", t.State)
			t.Endpoint, t.BootMS = "", 0
		}
		usable = append(usable, t)
	}
	f.Targets = usable
	return f
}

// check says what makes an entry useless. One that tells only that a backend is gone needs no address.
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

// unreadable reports whether an error of a decoder lies in the list itself: asked for again, it would be the same.
func isUnreadable(err error) bool {
	var syntax *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &mistyped) || errors.Is(err, errListTooLong)
}
