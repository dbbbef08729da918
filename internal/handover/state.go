package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"reflect"
	"time"

	"hitchspring/policy"
)

const (
	maxFileBytes  = 4 << 20              // larger files are neither read nor written
	maxStateAge   = 10 * time.Second     // an older state does not reflect the current load
	maxClockError = time.Second          // how far a state's time may be in the future
	maxInFlight   = 1 << 20              // larger counts are out of range
	maxNumber     = 1e12                 // larger numbers are out of range
	maxFutureTime = 365 * 24 * time.Hour // times further in the future are out of range
)

// WriteState writes the state file for the next process.
func (d *Dir) WriteState(s State) error {
	s.Listen = d.listen
	data, err := Encode(s)
	if err != nil {
		return err
	}
	return d.write(stateSuffix, data)
}

// ReadState reads and removes the state file of the previous process. It reports false if there is no file or it is
// invalid.
func (d *Dir) ReadState(now time.Duration) (State, bool) {
	path := d.base + stateSuffix
	data, err := readFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return State{}, false
	}
	os.Remove(path)
	var s State
	if err == nil {
		s, err = Decode(data, d.listen, now)
	}
	if err != nil {
		d.log.Warn("handover state rejected, starting without it", "path", path, "err", err)
		return State{}, false
	}
	return s, true
}

// Encode encodes a state as the content of a state file. It returns an error if the result is too large.
func Encode(s State) ([]byte, error) {
	s.Version = Version
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	if len(data) > maxFileBytes {
		return nil, fmt.Errorf("state: size is %d bytes, at most %d are allowed", len(data), maxFileBytes)
	}
	return data, nil
}

// Decode decodes and validates a state that was written for the given listen address. If any part of it is invalid, it
// returns an error that names the cause, and no part of the state.
func Decode(data []byte, listen string, now time.Duration) (State, error) {
	var s State
	if err := decodeStrict(data, &s); err != nil {
		return State{}, fmt.Errorf("state: %w", err)
	}
	if err := s.check(listen, now); err != nil {
		return State{}, fmt.Errorf("state: %w", err)
	}
	return s, nil
}

// check returns an error for the first field that cannot come from this instance's previous process.
func (s State) check(listen string, now time.Duration) error {
	switch {
	case s.Version != Version:
		return fmt.Errorf("version is %d, want %d", s.Version, Version)
	case s.Listen != listen:
		return fmt.Errorf("written by the ingress at %q, this one is at %q", s.Listen, listen)
	case s.At > now+maxClockError || now-s.At > maxStateAge:
		return fmt.Errorf("%v old, at most %v is allowed", (now - s.At).Round(time.Millisecond), maxStateAge)
	case s.Learned.InFlight < 0 || s.Learned.InFlight > maxInFlight:
		return fmt.Errorf("busy is %d, which is out of range", s.Learned.InFlight)
	}
	for _, tenant := range s.Learned.Tenants {
		if !isPlausible(tenant) {
			return fmt.Errorf("customer %q: a count is out of range: open %d, spread %d, first %d",
				tenant.Account, tenant.InFlight, tenant.Spread, tenant.First)
		}
	}
	if name := findOutOfRange(reflect.ValueOf(s.Learned), "learned", now); name != "" {
		return fmt.Errorf("%s is out of range", name)
	}
	return nil
}

// isPlausible reports whether a tenant's counts are within the valid range.
func isPlausible(tenant policy.LearnedTenant) bool {
	return tenant.InFlight >= 0 && tenant.InFlight <= maxInFlight && tenant.Spread >= 1 && tenant.First >= 0
}

// findOutOfRange returns the JSON path of the first number or time in a value that is out of range, or "" if there is
// none.
func findOutOfRange(value reflect.Value, name string, now time.Duration) string {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			fieldName := name + "." + value.Type().Field(i).Tag.Get("json")
			if found := findOutOfRange(value.Field(i), fieldName, now); found != "" {
				return found
			}
		}
	case reflect.Slice:
		for i := range value.Len() {
			if found := findOutOfRange(value.Index(i), fmt.Sprintf("%s[%d]", name, i), now); found != "" {
				return found
			}
		}
	case reflect.Float64:
		if inRange := math.Abs(value.Float()) <= maxNumber; !inRange { // NaN is not in range either
			return name
		}
	case reflect.Int64:
		isTime := value.Type() == reflect.TypeFor[time.Duration]()
		if isTime && (value.Int() < 0 || value.Int() > int64(now+maxFutureTime)) {
			return name
		}
	default:
	}
	return ""
}

// decodeStrict decodes a single JSON value. It rejects unknown fields and trailing data.
func decodeStrict(data []byte, into any) error {
	if len(data) > maxFileBytes {
		return fmt.Errorf("size is %d bytes, at most %d are allowed", len(data), maxFileBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("trailing data after the JSON value")
	}
	return nil
}
