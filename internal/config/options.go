// Package config reads the options file: what the platform's own configuration has no word for. It is TOML, decoded
// strictly and checked whole before anything starts; each error is one line that names file, line, key and value.
package config

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time written as 250ms or 2s.
type Duration time.Duration

// UnmarshalText is for the decoder.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText is for printing the settings in force.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Options is the whole file; a section that is absent is off.
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

// Takeover lets keyed work in hand survive its instance. It has no settings.
type Takeover struct{}

// Rights lets parts of budgets move between the instances that a channel comes through. It has no settings.
type Escrow struct{}

// Log says what the log holds besides what is out of the ordinary.
type Log struct {
	SummaryInterval  Duration `toml:"summary,omitempty"`  // between two lines that sum up what happened; they add up over instances
	LogRequests bool     `toml:"requests,omitempty"` // a line for the end of each request: its ids, why, and what became of its attempts
}

// The kinds of store.
const (
	StoreTally = "tally"
	StoreRedis = "redis"
)

// Store says which shared counter is used. Without the section it is the platform's, at the address in ROUTER_CONFIG.
type Store struct {
	Kind           string   `toml:"kind"`                      // tally or redis
	Address        string   `toml:"address,omitempty"`         // redis: host:port
	Sentinels      []string `toml:"sentinels,omitempty"`       // redis, in place of address: host:port of each
	PrimaryName         string   `toml:"master,omitempty"`          // with sentinels: the primary's name
	Username       string   `toml:"username,omitempty"`        // redis
	PasswordFile   string   `toml:"password_file,omitempty"`   // redis: read anew for each connection, last line end left out
	Database       int      `toml:"database,omitempty"`        // redis: SELECT
	KeyPrefix         string   `toml:"prefix,omitempty"`          // redis: of all keys; the same at all instances
	Shards         int      `toml:"lanes,omitempty"`           // redis: connections, each with its own hash tag; the same at all instances
	ConnectTimeout Duration `toml:"connect_timeout,omitempty"` // redis: dial, TLS and log-in together
	TLS            *TLS     `toml:"tls,omitempty"`             // redis: absent: plain TCP
}

// TLS says how a peer is verified and what we show it. The files are read anew for each connection.
type TLS struct {
	CAFile     string `toml:"ca_file,omitempty"`   // absent: the system's
	CertFile   string `toml:"cert_file,omitempty"` // ours, with KeyFile
	KeyFile    string `toml:"key_file,omitempty"`
	ServerName string `toml:"server_name,omitempty"` // absent: the address's host
}

// Bounds of the settings.
const (
	maxFileBytes = 4 << 20 // 16,384 rules of 150 bytes are 2.5 MB
	maxShards    = 64
	maxKeyPrefixBytes   = 24
	maxConnectTimeout     = Duration(10 * time.Second)
)

// Load reads and checks a file; an empty path gives the defaults.
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

func parse(path string, text []byte) (*Options, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("options %s: the file has %d bytes, %d at most", path, len(text), maxFileBytes)
	}
	var o Options
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&o); err != nil {
		return nil, decodeError(path, text, err)
	}
	where := keyLines(text)
	for _, f := range o.validate() {
		line := where[f.key]
		if line == 0 {
			line = where[f.key[:max(0, strings.LastIndexByte(f.key, '.'))]]
		}
		return nil, fmt.Errorf("options %s:%d: %s: %s", path, max(line, 1), f.key, f.reason)
	}
	return &o, nil
}

// decodeError makes one line of what the decoder says.
func decodeError(path string, text []byte, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		row, _ := e.Position()
		return fmt.Errorf("options %s:%d: %s: no such key", path, row, strings.Join(e.Key(), "."))
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, _ := de.Position()
		key := strings.Join(de.Key(), ".")
		line := ""
		if lines := strings.Split(string(text), "\n"); row >= 1 && row <= len(lines) {
			line = strings.TrimSpace(lines[row-1])
		}
		if key == "" {
			key, _, _ = strings.Cut(line, "=")
			key = strings.TrimSpace(key)
		}
		what := strings.ReplaceAll(strings.TrimPrefix(de.Error(), "toml: "), "\n", " ")
		return fmt.Errorf("options %s:%d: %s: %s in %q", path, row, key, what, line)
	}
	return fmt.Errorf("options %s: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
}

// places finds the line of each key, as section.key, and of each section. It knows the plain form only: a file that is
// written otherwise decodes just as well, and an error names the section's line or the first one.
func keyLines(text []byte) map[string]int {
	out := map[string]int{}
	section := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		switch key, _, ok := strings.Cut(line, "="); {
		case strings.HasPrefix(line, "["):
			section = strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t")
			out[section] = i + 1
		case ok && !strings.HasPrefix(line, "#"):
			key = strings.TrimSpace(key)
			if section != "" {
				key = section + "." + key
			}
			out[key] = i + 1
		}
	}
	return out
}

// fault is what is wrong with a key.
type fieldError struct{ key, reason string }

// check fills in the defaults and says what is wrong, worst first.
func (o *Options) validate() []fieldError {
	var faults []fieldError
	if o.Store != nil {
		faults = append(faults, o.Store.validate()...)
	}
	if o.ForwardAuth != nil {
		faults = append(faults, o.ForwardAuth.validate()...)
	}
	if o.Metrics != nil {
		faults = append(faults, o.Metrics.validate()...)
	}
	if o.Zones != nil {
		faults = append(faults, o.Zones.validate()...)
	}
	if l := o.Log; l != nil && !(l.LogRequests && l.SummaryInterval == 0) && (l.SummaryInterval < Duration(100*time.Millisecond) || l.SummaryInterval > Duration(time.Hour)) {
		faults = append(faults, fieldError{"log.summary", fmt.Sprintf("%v is out of range, 100ms to 1h", time.Duration(l.SummaryInterval))})
	}
	if o.Peers != nil {
		faults = append(faults, o.Peers.validate()...)
	}
	if o.Takeover != nil && o.Peers == nil {
		faults = append(faults, fieldError{"takeover", "it needs [peers]: who would take over?"})
	}
	if o.Escrow != nil && o.Peers == nil {
		faults = append(faults, fieldError{"rights", "it needs [peers]: with whom would parts move?"})
	}
	if o.Clock != nil {
		faults = append(faults, o.Clock.validate()...)
	}
	return faults
}

func (s *Store) validate() (faults []fieldError) {
	wrong := func(key, format string, args ...any) {
		faults = append(faults, fieldError{"store." + key, fmt.Sprintf(format, args...)})
	}
	switch s.Kind {
	case StoreRedis:
	case StoreTally, "":
		if s.Kind == "" {
			wrong("kind", "missing, want %q or %q", StoreTally, StoreRedis)
		}
		if !reflect.DeepEqual(*s, Store{Kind: s.Kind}) {
			wrong("kind", "%q takes no further settings: its address stands in ROUTER_CONFIG", StoreTally)
		}
		return faults
	default:
		wrong("kind", "%q is none, want %q or %q", s.Kind, StoreTally, StoreRedis)
		return faults
	}
	switch {
	case s.Address == "" && len(s.Sentinels) == 0:
		wrong("address", "missing: kind %q wants it, or sentinels", StoreRedis)
	case s.Address != "" && len(s.Sentinels) > 0:
		wrong("sentinels", "%q stand beside address %q: only one of the two", s.Sentinels, s.Address)
	case len(s.Sentinels) > 0 && s.PrimaryName == "":
		wrong("master", "missing: the Sentinels want the primary's name")
	case len(s.Sentinels) == 0 && s.PrimaryName != "":
		wrong("master", "%q stands without sentinels", s.PrimaryName)
	}
	if s.Address != "" {
		if err := checkAddress(s.Address); err != nil {
			wrong("address", "%q: %v", s.Address, err)
		}
	}
	for _, a := range s.Sentinels {
		if err := checkAddress(a); err != nil {
			wrong("sentinels", "%q: %v", a, err)
		}
	}
	if s.Username != "" && s.PasswordFile == "" {
		wrong("username", "%q stands without password_file", s.Username)
	}
	if s.PasswordFile != "" {
		if _, err := s.Password(); err != nil {
			wrong("password_file", "%v", err)
		}
	}
	if s.Database < 0 {
		wrong("database", "%d is negative", s.Database)
	}
	if s.KeyPrefix == "" {
		s.KeyPrefix = "hitchspring"
	}
	if len(s.KeyPrefix) > maxKeyPrefixBytes || strings.ContainsAny(s.KeyPrefix, "{} \t\r\n") {
		wrong("prefix", "%q: %d characters at most, no braces or spaces", s.KeyPrefix, maxKeyPrefixBytes)
	}
	if s.Shards == 0 {
		s.Shards = 1
	}
	if s.Shards < 1 || s.Shards > maxShards {
		wrong("lanes", "%d is out of range, 1 to %d", s.Shards, maxShards)
	}
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = Duration(250 * time.Millisecond)
	}
	if s.ConnectTimeout < 0 || s.ConnectTimeout > maxConnectTimeout {
		wrong("connect_timeout", "%v is out of range, up to %v", time.Duration(s.ConnectTimeout), time.Duration(maxConnectTimeout))
	}
	if s.TLS != nil {
		if key, err := s.TLS.validate(); err != nil {
			wrong("tls."+key, "%v", err)
		}
	}
	return faults
}

func checkAddress(a string) error {
	_, port, err := net.SplitHostPort(a)
	if err != nil {
		var ae *net.AddrError
		if errors.As(err, &ae) {
			return errors.New(ae.Err)
		}
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %q is none", port)
	}
	return nil
}

// Password reads the password's file; nothing of it is in an error.
func (s *Store) Password() (string, error) {
	text, err := os.ReadFile(s.PasswordFile)
	if err != nil {
		return "", err
	}
	p := strings.TrimRight(string(text), "\r\n")
	if p == "" {
		return "", fmt.Errorf("%s is empty", s.PasswordFile)
	}
	return p, nil
}

func (t *TLS) validate() (key string, err error) {
	if (t.CertFile == "") != (t.KeyFile == "") {
		return "cert_file", errors.New("cert_file and key_file go together")
	}
	_, key, err = t.load()
	return key, err
}

// Config reads the files.
func (t *TLS) Config() (*tls.Config, error) {
	c, key, err := t.load()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return c, nil
}

func (t *TLS) load() (c *tls.Config, key string, err error) {
	c = &tls.Config{MinVersion: tls.VersionTLS12, ServerName: t.ServerName}
	if t.CAFile != "" {
		pem, err := os.ReadFile(t.CAFile)
		if err != nil {
			return nil, "ca_file", err
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, "ca_file", fmt.Errorf("no certificate in %s", t.CAFile)
		}
	}
	if t.CertFile != "" {
		pair, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
		if err != nil {
			return nil, "cert_file", err
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c, "", nil
}

// Text is the settings in force, defaults among them and no secret, as a file that Load would take.
func (o *Options) Text() string {
	b, err := toml.Marshal(o)
	if err != nil || len(bytes.TrimSpace(b)) == 0 {
		return "# everything is as ROUTER_CONFIG has it\n"
	}
	return string(b)
}

// SameButAddress says whether only what can change in service differs: where the store is.
func (s *Store) EqualExceptAddress(o *Store) bool {
	if s == nil || o == nil {
		return s == o
	}
	a, b := *s, *o
	a.Address, b.Address = "", ""
	return reflect.DeepEqual(a, b)
}
