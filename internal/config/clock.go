package config

import "time"

// Bounds of an artificial clock error.
const (
	maxClockOffset = Duration(time.Hour)
	minClockRate   = 0.5
	maxClockRate   = 2
)

// Clock is an artificial error of this process's clock, for tests of what depends on clocks and for nothing else.
type Clock struct {
	Offset Duration `toml:"ahead,omitempty"` // how far it is ahead of the true time
	Rate   float64  `toml:"rate,omitempty"`  // seconds that pass on it in a true second; 0: one
}

// validate returns what is wrong.
func (c *Clock) validate() []fieldError {
	s := section{name: "clock"}
	if c.Offset < -maxClockOffset || c.Offset > maxClockOffset {
		s.reject("ahead", "%v is out of range, 1h either way", c.Offset)
	}
	if c.Rate != 0 && !(c.Rate >= minClockRate && c.Rate <= maxClockRate) {
		s.reject("rate", "%v is out of range, %v to %v", c.Rate, minClockRate, maxClockRate)
	}
	return s.errs
}
