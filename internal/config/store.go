package config

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"
)

// Values of Store.Kind.
const (
	StoreTally = "tally"
	StoreRedis = "redis"
)

// Defaults and bounds for a Redis store.
const (
	defaultKeyPrefix      = "hitchspring"
	maxKeyPrefixBytes     = 24
	defaultShards         = 1
	maxShards             = 64
	defaultConnectTimeout = Duration(250 * time.Millisecond)
	maxConnectTimeout     = Duration(10 * time.Second)
)

// Store selects the store of the shared counters. If the section is absent, the platform's counter is used, at the
// address in the file that ROUTER_CONFIG names. All fields but Kind apply to Redis only.
type Store struct {
	Kind           string   `toml:"kind"`                      // StoreTally or StoreRedis
	Address        string   `toml:"address,omitempty"`         // host:port; reloaded on SIGHUP
	Sentinels      []string `toml:"sentinels,omitempty"`       // alternative to Address: host:port of each Sentinel
	PrimaryName    string   `toml:"master,omitempty"`          // name under which Sentinels monitor the primary
	Username       string   `toml:"username,omitempty"`        // requires PasswordFile
	PasswordFile   string   `toml:"password_file,omitempty"`   // read again for each connection
	Database       int      `toml:"database,omitempty"`        // index for the SELECT command
	KeyPrefix      string   `toml:"prefix,omitempty"`          // of all keys; the same on all instances
	Shards         int      `toml:"lanes,omitempty"`           // number of connections; the same on all instances
	ConnectTimeout Duration `toml:"connect_timeout,omitempty"` // for dialing, TLS and authentication together
	TLS            *TLS     `toml:"tls,omitempty"`             // nil: no encryption
}

// validate fills in the defaults and returns the errors of the section.
func (s *Store) validate() []fieldError {
	sec := section{name: "store"}
	if s.Kind != StoreRedis {
		s.validateKind(&sec)
		return sec.errs
	}
	s.validateAddresses(&sec)
	s.validateCredentials(&sec)
	if s.Database < 0 {
		sec.reject("database", "%d is negative", s.Database)
	}
	if s.KeyPrefix == "" {
		s.KeyPrefix = defaultKeyPrefix
	}
	if len(s.KeyPrefix) > maxKeyPrefixBytes || strings.ContainsAny(s.KeyPrefix, "{} \t\r\n") {
		sec.reject("prefix", "%q: %d characters at most, no braces or spaces", s.KeyPrefix, maxKeyPrefixBytes)
	}
	setDefault(&sec, "lanes", &s.Shards, defaultShards, 1, maxShards)
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = defaultConnectTimeout
	}
	if s.ConnectTimeout < 0 || s.ConnectTimeout > maxConnectTimeout {
		sec.reject("connect_timeout", "%v is out of range, up to %v", s.ConnectTimeout, maxConnectTimeout)
	}
	if s.TLS != nil {
		sec.errs = append(sec.errs, s.TLS.validate()...)
	}
	return sec.errs
}

// validateKind checks a store whose kind is not StoreRedis.
func (s *Store) validateKind(sec *section) {
	switch s.Kind {
	case StoreTally, "":
		if s.Kind == "" {
			sec.reject("kind", "missing, want %q or %q", StoreTally, StoreRedis)
		}
		if !reflect.DeepEqual(*s, Store{Kind: s.Kind}) {
			sec.reject("kind", "%q takes no further settings: its address stands in ROUTER_CONFIG", StoreTally)
		}
	default:
		sec.reject("kind", "%q is none, want %q or %q", s.Kind, StoreTally, StoreRedis)
	}
}

// validateAddresses checks that either an address is set, or Sentinels and the name of the primary.
func (s *Store) validateAddresses(sec *section) {
	switch {
	case s.Address == "" && len(s.Sentinels) == 0:
		sec.reject("address", "missing: kind %q wants it, or sentinels", StoreRedis)
	case s.Address != "" && len(s.Sentinels) > 0:
		sec.reject("sentinels", "%q stand beside address %q: only one of the two", s.Sentinels, s.Address)
	case len(s.Sentinels) > 0 && s.PrimaryName == "":
		sec.reject("master", "missing: the Sentinels want the primary's name")
	case len(s.Sentinels) == 0 && s.PrimaryName != "":
		sec.reject("master", "%q stands without sentinels", s.PrimaryName)
	}
	if s.Address != "" {
		sec.validateAddress("address", s.Address)
	}
	for _, sentinel := range s.Sentinels {
		sec.validateAddress("sentinels", sentinel)
	}
}

// validateCredentials checks that a user has a password file, and that the file can be read.
func (s *Store) validateCredentials(sec *section) {
	if s.Username != "" && s.PasswordFile == "" {
		sec.reject("username", "%q stands without password_file", s.Username)
	}
	if s.PasswordFile == "" {
		return
	}
	if _, err := s.Password(); err != nil {
		sec.reject("password_file", "%w", err)
	}
}

// Password reads PasswordFile and returns its content without trailing newlines. Errors never contain the password.
func (s *Store) Password() (string, error) {
	text, err := os.ReadFile(s.PasswordFile)
	if err != nil {
		return "", err
	}
	password := strings.TrimRight(string(text), "\r\n")
	if password == "" {
		return "", fmt.Errorf("%s is empty", s.PasswordFile)
	}
	return password, nil
}

// EqualExceptAddress reports whether two sections are equal apart from the address, which a reload may change. Either
// section may be nil.
func (s *Store) EqualExceptAddress(other *Store) bool {
	if s == nil || other == nil {
		return s == other
	}
	a, b := *s, *other
	a.Address = ""
	b.Address = ""
	return reflect.DeepEqual(a, b)
}
