// Package config reads the options file: what the platform's own configuration
// has no settings for. The file is TOML, with a section for each optional part
// of the program; a section that is absent turns its part off. Load decodes the
// file strictly, fills in the defaults and checks everything before anything
// starts; an error is one line that names file, line, key and value. The package
// starts nothing and keeps no state, but checking reads the files that the
// options name.
package config

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// maxFileBytes bounds the options file: 16,384 rules of 150 bytes are 2.5 MB.
const maxFileBytes = 4 << 20

// Bounds of the time between two summaries in the log.
const (
	minSummaryInterval = Duration(100 * time.Millisecond)
	maxSummaryInterval = Duration(time.Hour)
)

// Duration is a time span that is written as 250ms or 2s.
type Duration time.Duration

// UnmarshalText parses the written form.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText returns the written form, for the settings in force.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the written form.
func (d Duration) String() string { return time.Duration(d).String() }

// Options is the complete file; a section that is absent is nil, and its part of the program is off.
type Options struct {
	Store       *Store       `toml:"store,omitempty"`
	ForwardAuth *ForwardAuth `toml:"forward_auth,omitempty"`
	Metrics     *Metrics     `toml:"metrics,omitempty"`
	Zones       *Zones       `toml:"halls,omitempty"`
	Log         *Log         `toml:"log,omitempty"`
	Peers       *Peers       `toml:"peers,omitempty"`
	Takeover    *Takeover    `toml:"takeover,omitempty"`
	Escrow      *Escrow      `toml:"rights,omitempty"`
	Clock       *Clock       `toml:"clock,omitempty"`
}

// Takeover lets pending work with an idempotency key survive its instance. It needs Peers and has no settings.
type Takeover struct{}

// Escrow lets quota allocations move between the instances that a tenant's requests come through. It needs Peers and
// has no settings.
type Escrow struct{}

// Metrics says where metrics and status are served.
type Metrics struct {
	Listen string `toml:"listen"` // host:port
}

// Log says what is logged besides events out of the ordinary.
type Log struct {
	// SummaryInterval is the time between two lines of counts, which can be added up over instances; 0: no such lines.
	SummaryInterval Duration `toml:"summary,omitempty"`
	// LogRequests asks for a line at the end of each request: its ids, the reason, and what became of its attempts.
	LogRequests bool `toml:"requests,omitempty"`
}

// Load reads and checks a file and fills in the defaults. An empty path gives options with every part off.
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

// parse decodes and checks the text of a file; path is for errors only.
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

// validate fills in the defaults and returns what is wrong, section by section.
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
	if o.Clock != nil {
		errs = append(errs, o.Clock.validate()...)
	}
	return errs
}

// validate returns what is wrong.
func (m *Metrics) validate() []fieldError {
	s := section{name: "metrics"}
	s.validateListen(m.Listen)
	return s.errs
}

// validate returns what is wrong. A summary is required unless requests are logged.
func (l *Log) validate() []fieldError {
	s := section{name: "log"}
	onlyRequests := l.LogRequests && l.SummaryInterval == 0
	if !onlyRequests && (l.SummaryInterval < minSummaryInterval || l.SummaryInterval > maxSummaryInterval) {
		s.reject("summary", "%v is out of range, 100ms to 1h", l.SummaryInterval)
	}
	return s.errs
}

// Text returns the settings in force, with the defaults and without any secret, as a file that Load accepts.
func (o *Options) Text() string {
	text, err := toml.Marshal(o)
	if err != nil || len(bytes.TrimSpace(text)) == 0 {
		return "# everything is as ROUTER_CONFIG has it\n"
	}
	return string(text)
}
