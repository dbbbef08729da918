package config

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"
)

// The kinds of store.
const (
	StoreTally = "tally"
	StoreRedis = "redis"
)

// Defaults and bounds of a store on Redis.
const (
	defaultKeyPrefix      = "hitchspring"
	maxKeyPrefixBytes     = 24
	defaultShards         = 1
	maxShards             = 64
	defaultConnectTimeout = Duration(250 * time.Millisecond)
	maxConnectTimeout     = Duration(10 * time.Second)
)

// Store says which shared counter is used. Without the section it is the platform's, at the address in ROUTER_CONFIG.
// All fields but Kind are for Redis only.
type Store struct {
	Kind           string   `toml:"kind"`                      // StoreTally or StoreRedis
	Address        string   `toml:"address,omitempty"`         // host:port; can change in service
	Sentinels      []string `toml:"sentinels,omitempty"`       // in place of Address: host:port of each
	PrimaryName    string   `toml:"master,omitempty"`          // with Sentinels: the primary's name
	Username       string   `toml:"username,omitempty"`        // needs PasswordFile
	PasswordFile   string   `toml:"password_file,omitempty"`   // read anew for each connection
	Database       int      `toml:"database,omitempty"`        // for SELECT
	KeyPrefix      string   `toml:"prefix,omitempty"`          // of all keys; the same at all instances
	Shards         int      `toml:"lanes,omitempty"`           // connections; the same at all instances
	ConnectTimeout Duration `toml:"connect_timeout,omitempty"` // for dialing, TLS and authentication together
	TLS            *TLS     `toml:"tls,omitempty"`             // nil: plain TCP
}

// validate fills in the defaults and returns what is wrong.
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

// validateKind checks a store that is not on Redis.
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

// validateAddresses checks that there is either an address, or Sentinels with the name of a primary.
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

// validateCredentials checks that a user has a password, and that its file can be read now.
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

// Password returns the content of PasswordFile without line ends behind it. No error holds any of it.
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

// EqualExceptAddress reports whether two sections, either of which may be absent, differ at most in what can change in
// service: the address.
func (s *Store) EqualExceptAddress(other *Store) bool {
	if s == nil || other == nil {
		return s == other
	}
	a, b := *s, *other
	a.Address = ""
	b.Address = ""
	return reflect.DeepEqual(a, b)
}
