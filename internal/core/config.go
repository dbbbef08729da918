package core

import (
	"errors"
	"fmt"
	"net"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/settings"
	"hitchspring/internal/store"
	"hitchspring/internal/zones"
	"hitchspring/policy"
)

const (
	minSockets            = 128
	memoryShares          = 8         // requests, front input, unread answers and backend replies have one of them each
	defaultMemory         = 256 << 20 // bytes
	defaultConnectTimeout = 250 * time.Millisecond
	defaultMaxOpen        = 20000 // open requests
	defaultIdleTimeout    = 15 * time.Second
)

// Config is the configuration of a core.
type Config struct {
	Discovery     string // address of the discovery service
	Seed          uint64 // of all random draws
	Sockets       int    // descriptors that the core and the fronts may use
	Memory        int    // bytes that the core and the fronts may use; 0: a default
	Known         discovery.List
	Settings      policy.Settings
	Store         func(store.Sink) (store.Counter, error) // creates the shared counter; nil: the settings name none
	Connections   settings.Connections
	Leases        *LeaseConfig    // of attempts that callers send themselves; nil: none are granted
	Zones         *zones.Config   // nil: another zone costs a fixed factor
	Summary       time.Duration   // between two summary lines of the log; 0: no such lines
	LogRequests   bool            // write a log line for the end of each request
	Siblings      int             // other processes of this instance at the start; limits hold for all together
	CountBackends bool            // keep the metrics of the endpoint list up to date
	Overrides     OverrideStore   // keeps operators' overrides; nil: they end with the process
	Peers         Peers           // other instances, to share observations on backends with; nil: there are none
	Clock         Clock           // an error of this process's clock, for tests
	Escrow        Transport       // carries transfers of quota shares; nil: all shares are even
	Takeover      *TakeoverConfig // nil: this instance's work ends with it
}

// validate reports the first field whose value cannot be used.
func (cfg Config) validate() error {
	if cfg.Sockets < minSockets {
		return fmt.Errorf("%d sockets are too few: %d at least", cfg.Sockets, minSockets)
	}
	if cfg.Settings.Counter && cfg.Store == nil {
		return errors.New("the settings name a shared counter, and there is none")
	}
	if _, _, err := net.SplitHostPort(cfg.Discovery); cfg.Discovery != "" && err != nil {
		return fmt.Errorf("not an address: %w", err)
	}
	return nil
}

// withDefaults returns the configuration with each limit set.
func (cfg Config) withDefaults() Config {
	if cfg.Connections.ConnectTimeout <= 0 {
		cfg.Connections.ConnectTimeout = defaultConnectTimeout
	}
	if cfg.Connections.MaxOpen <= 0 {
		cfg.Connections.MaxOpen = defaultMaxOpen
	}
	if cfg.Connections.Idle <= 0 {
		cfg.Connections.Idle = defaultIdleTimeout
	}
	if cfg.Memory <= 0 {
		cfg.Memory = defaultMemory
	}
	return cfg
}
