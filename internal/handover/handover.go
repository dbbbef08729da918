// Package handover is what one process of an ingress leaves to the next: what goes over (pure, in this file), and the files and locks
// by which it does (dir.go). It knows neither clients nor nodes, and decides nothing about requests.
package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/override"
	"hitchspring/policy"
)

const (
	// Version is of the form of the files. A file of another version is not read.
	Version = 1
	// mostBytes bounds a file; a larger one is not read, and none is written.
	mostBytes = 4 << 20
	mostAge   = 10 * time.Second       // of a state: what is older is not worth a start on it
	keepFor   = 300 * time.Millisecond // of a customer's demand stays with the old process, for its last requests
	keepMost  = 0.25                   // of its block and of its ceiling's store at the most
	busyMost  = 1 << 20                // counts beyond are nonsense
	figureMax = 1e12                   // figures beyond are nonsense
	timeSlack = 365 * 24 * time.Hour   // around now: times beyond are nonsense
)

// State is what the old process leaves.
type State struct {
	Version int                 `json:"version"`
	Listen  string              `json:"listen"` // of which ingress it is
	At      time.Duration       `json:"at"`     // on the clock that all instances share
	List    discovery.List      `json:"list"`   // the nodes as last heard, without the operators' word
	Learned policy.LearnedState `json:"learned"`
}

// Split parts what a gateway knows between its old process and its new one. The sum of all units is what it was: nothing is
// doubled, and nothing lost. The counter is told by the new one alone.
func Split(l policy.LearnedState) (kept []policy.LearnedTenant, given policy.LearnedState) {
	given = l
	given.Tenants = make([]policy.LearnedTenant, len(l.Tenants))
	kept = make([]policy.LearnedTenant, len(l.Tenants))
	for i, c := range l.Tenants {
		k, g := c, c
		need := c.Demand * keepFor.Seconds()
		k.LeasedUnits, g.LeasedUnits = part(c.LeasedUnits, need)
		k.CeilingLevel, g.CeilingLevel = part(c.CeilingLevel, need)
		k.UnreportedUnits = 0
		kept[i], given.Tenants[i] = k, g
	}
	return kept, given
}

// part keeps what is needed of a store, a quarter at the most; a debt goes over whole.
func part(store, need float64) (kept, given float64) {
	kept = max(0, min(need, store*keepMost))
	return kept, store - kept
}

// Encode words a state for a file.
func Encode(s State) ([]byte, error) {
	s.Version = Version
	b, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if len(b) > mostBytes {
		return nil, fmt.Errorf("state: %d bytes, %d at most", len(b), mostBytes)
	}
	return b, nil
}

// Decode reads a state that was written for an address, and checks it whole: a file that is torn, foreign, of another version, old
// or forged is an error that says so, and nothing of it is used.
func Decode(b []byte, listen string, now time.Duration) (State, error) {
	var s State
	if err := strict(b, &s); err != nil {
		return State{}, fmt.Errorf("state: %w", err)
	}
	switch {
	case s.Version != Version:
		return State{}, fmt.Errorf("state: version %d, this program reads %d", s.Version, Version)
	case s.Listen != listen:
		return State{}, fmt.Errorf("state: of the ingress at %q, this one is at %q", s.Listen, listen)
	case s.At > now+time.Second || now-s.At > mostAge:
		return State{}, fmt.Errorf("state: %v old, %v at most", (now - s.At).Round(time.Millisecond), mostAge)
	case s.Learned.InFlight < 0 || s.Learned.InFlight > busyMost:
		return State{}, fmt.Errorf("state: busy is %d", s.Learned.InFlight)
	}
	for _, c := range s.Learned.Tenants {
		if c.InFlight < 0 || c.InFlight > busyMost || c.Spread < 1 || c.First < 0 {
			return State{}, fmt.Errorf("state: customer %q: open %d, spread %d, first %d", c.ID, c.InFlight, c.Spread, c.First)
		}
	}
	if name := nonsense(reflect.ValueOf(s.Learned), "learned", now); name != "" {
		return State{}, fmt.Errorf("state: %s is out of range", name)
	}
	return s, nil
}

// nonsense names the first figure or time that no gateway can have had.
func nonsense(v reflect.Value, name string, now time.Duration) string {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if bad := nonsense(v.Field(i), name+"."+v.Type().Field(i).Tag.Get("json"), now); bad != "" {
				return bad
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if bad := nonsense(v.Index(i), fmt.Sprintf("%s[%d]", name, i), now); bad != "" {
				return bad
			}
		}
	case reflect.Float64:
		if !(math.Abs(v.Float()) <= figureMax) {
			return name
		}
	case reflect.Int64:
		if v.Type() == reflect.TypeFor[time.Duration]() && (v.Int() < 0 || v.Int() > int64(now+timeSlack)) {
			return name
		}
	}
	return ""
}

// strict reads one JSON value and nothing else.
func strict(b []byte, into any) error {
	if len(b) > mostBytes {
		return fmt.Errorf("%d bytes, %d at most", len(b), mostBytes)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if d.More() {
		return errors.New("something stands behind its end")
	}
	return nil
}

func encodeWords(f wordsFile) ([]byte, error) {
	b, err := json.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("words: %w", err)
	}
	return b, nil
}

// decodeWords reads and checks the words that were written for an address.
func decodeWords(b []byte, listen string) ([]override.Override, error) {
	var f wordsFile
	if err := strict(b, &f); err != nil {
		return nil, fmt.Errorf("words: %w", err)
	}
	if f.Version != Version {
		return nil, fmt.Errorf("words: version %d, this program reads %d", f.Version, Version)
	}
	if f.Listen != listen {
		return nil, fmt.Errorf("words: of the ingress at %q, this one is at %q", f.Listen, listen)
	}
	for _, w := range f.Words {
		if w.ID == "" || w.At < 0 {
			return nil, fmt.Errorf("words: on %q at %v", w.ID, w.At)
		}
	}
	return f.Words, nil
}
