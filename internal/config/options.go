// Package config reads the options file, which configures the optional features
// that the platform's own configuration does not cover. The file is TOML with a
// section for each feature; without its section a feature is off. Load rejects
// unknown keys, fills in the defaults and validates all values. Its errors are
// one line that names the file, the line, the key and the value. The package has
// no state and starts nothing, but validation also reads the files that the
// options name, such as key files.
package config

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// maxFileBytes is the maximum size of the options file. 16,384 rules of 150 bytes take 2.5 MB.
const maxFileBytes = 4 << 20

// Bounds of the interval between two summary lines in the log.
const (
	minSummaryInterval = Duration(100 * time.Millisecond)
	maxSummaryInterval = Duration(time.Hour)
)

// Duration is a time.Duration that is written as text, such as 250ms or 2s.
type Duration time.Duration

// UnmarshalText parses the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText formats the duration as UnmarshalText accepts it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// Options is the content of the options file. A section that is absent is nil, and its feature is off.
type Options struct {
	Store       *Store       `toml:"store,omitempty"`
	ForwardAuth *ForwardAuth `toml:"forward_auth,omitempty"`
	Metrics     *Metrics     `toml:"metrics,omitempty"`
	Zones       *Zones       `toml:"halls,omitempty"`
	Log         *Log         `toml:"log,omitempty"`
	Peers       *Peers       `toml:"peers,omitempty"`
	Takeover    *Takeover    `toml:"takeover,omitempty"`
	Escrow      *Escrow      `toml:"rights,omitempty"`
	ClockError  *ClockError  `toml:"clock,omitempty"`
}

// Takeover enables the takeover of pending work: if an instance fails, other instances complete its requests that have
// an idempotency key. It requires Peers and has no settings.
type Takeover struct{}

// Escrow enables transfers of quota allocations between the instances that receive a tenant's requests. It requires
// Peers and has no settings.
type Escrow struct{}

// Metrics configures the HTTP listener for metrics and status.
type Metrics struct {
	Listen string `toml:"listen"` // host:port
}

// Log enables log lines on regular operation, in addition to those on unusual events.
type Log struct {
	// SummaryInterval is the time between two summary lines, whose counts can be added up over all instances. 0 turns
	// summaries off.
	SummaryInterval Duration `toml:"summary,omitempty"`
	// LogRequests enables a line at the end of each request with its ids, the reason of its outcome, and the outcomes
	// of its attempts.
	LogRequests bool `toml:"requests,omitempty"`
}

// Load reads and validates a file and fills in the defaults. With an empty path every feature is off.
func Load(path string) (*Options, error) {
	if path == "" {
		return &Options{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	return parse(path, text)
}

// parse decodes and validates the text of a file; path is only used in errors.
func parse(path string, text []byte) (*Options, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("options %s: the file has %d bytes, %d at most", path, len(text), maxFileBytes)
	}
	var o Options
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&o); err != nil {
		return nil, decodeError(path, text, err)
	}
	if errs := o.validate(); len(errs) > 0 {
		return nil, fmt.Errorf("options %s:%d: %w", path, lineOf(errs[0].key, text), errs[0])
	}
	return &o, nil
}

// validate fills in the defaults of all sections and returns their errors.
func (o *Options) validate() []fieldError {
	var errs []fieldError
	if o.Store != nil {
		errs = append(errs, o.Store.validate()...)
	}
	if o.ForwardAuth != nil {
		errs = append(errs, o.ForwardAuth.validate()...)
	}
	if o.Metrics != nil {
		errs = append(errs, o.Metrics.validate()...)
	}
	if o.Zones != nil {
		errs = append(errs, o.Zones.validate()...)
	}
	if o.Log != nil {
		errs = append(errs, o.Log.validate()...)
	}
	if o.Peers != nil {
		errs = append(errs, o.Peers.validate()...)
	}
	if o.Takeover != nil && o.Peers == nil {
		errs = append(errs, newFieldError("takeover", "it needs [peers]: who would take over?"))
	}
	if o.Escrow != nil && o.Peers == nil {
		errs = append(errs, newFieldError("rights", "it needs [peers]: with whom would parts move?"))
	}
	if o.ClockError != nil {
		errs = append(errs, o.ClockError.validate()...)
	}
	return errs
}

// validate returns the errors of the section.
func (m *Metrics) validate() []fieldError {
	s := section{name: "metrics"}
	s.validateListen(m.Listen)
	return s.errs
}

// validate returns the errors of the section. The summary interval is required unless requests are logged.
func (l *Log) validate() []fieldError {
	s := section{name: "log"}
	onlyRequests := l.LogRequests && l.SummaryInterval == 0
	if !onlyRequests && (l.SummaryInterval < minSummaryInterval || l.SummaryInterval > maxSummaryInterval) {
		s.reject("summary", "%v is out of range, 100ms to 1h", l.SummaryInterval)
	}
	return s.errs
}

// Text returns the effective options, including defaults, in the format that Load reads. They contain the paths of
// secret files, but no secrets.
func (o *Options) Text() string {
	text, err := toml.Marshal(o)
	if err != nil || len(bytes.TrimSpace(text)) == 0 {
		return "# everything is as ROUTER_CONFIG has it\n"
	}
	return string(text)
}
