package config

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// fieldError is the error for the value of one key.
type fieldError struct {
	key string // including its section, such as store.address
	err error
}

// newFieldError returns an error for a key, which includes its section. The error is formatted as by fmt.Errorf.
func newFieldError(key, format string, args ...any) fieldError {
	return fieldError{key: key, err: fmt.Errorf(format, args...)}
}

// Error returns the key and the text of the error.
func (e fieldError) Error() string { return e.key + ": " + e.err.Error() }

// Unwrap returns the error without the key.
func (e fieldError) Unwrap() error { return e.err }

// section collects the errors of one section of the file.
type section struct {
	name string
	errs []fieldError // in the order of the checks; only the first is reported
}

// reject adds an error for a key of the section. The error is formatted as by fmt.Errorf.
func (s *section) reject(key, format string, args ...any) {
	s.errs = append(s.errs, newFieldError(s.name+"."+key, format, args...))
}

// validateListen adds an error for a listen address that is missing or malformed.
func (s *section) validateListen(address string) {
	if address == "" {
		s.reject("listen", "missing: want host:port")
		return
	}
	s.validateAddress("listen", address)
}

// validateAddress adds an error for an address that is not host:port.
func (s *section) validateAddress(key, address string) {
	if err := checkAddress(address); err != nil {
		s.reject(key, "%q: %w", address, err)
	}
}

// setDefault replaces a zero value by the default, and adds an error for a value outside [low, high].
func setDefault[T int | float64 | Duration](s *section, key string, value *T, defaultValue, low, high T) {
	if *value == 0 {
		*value = defaultValue
	}
	inRange := *value >= low && *value <= high // false for NaN, which TOML allows
	if !inRange {
		s.reject(key, "%v is out of range, %v to %v", *value, low, high)
	}
}

// checkAddress returns an error if an address is not host:port with a port from 1 to 65535.
func checkAddress(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		var addrErr *net.AddrError
		if errors.As(err, &addrErr) { // AddrError.Error repeats the address, which the caller adds
			return errors.New(addrErr.Err)
		}
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %q is none", port)
	}
	return nil
}
