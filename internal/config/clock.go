package config

import "time"

// Bounds of a simulated clock error.
const (
	maxClockOffset = Duration(time.Hour)
	minClockRate   = 0.5
	maxClockRate   = 2
)

// ClockError is a simulated error of this process's clock. It is for tests of clock skew and drift only.
type ClockError struct {
	Offset Duration `toml:"ahead,omitempty"` // difference from the true time at the start; may be negative
	Rate   float64  `toml:"rate,omitempty"`  // seconds of this clock per true second; 0 means 1
}

// validate returns the errors of the section.
func (c *ClockError) validate() []fieldError {
	s := section{name: "clock"}
	if c.Offset < -maxClockOffset || c.Offset > maxClockOffset {
		s.reject("ahead", "%v is out of range, 1h either way", c.Offset)
	}
	if c.Rate != 0 && !(c.Rate >= minClockRate && c.Rate <= maxClockRate) {
		s.reject("rate", "%v is out of range, %v to %v", c.Rate, minClockRate, maxClockRate)
	}
	return s.errs
}
