package core

import (
	"errors"
	"fmt"
	"net"
	"time"

	"hitchspring/internal/cputime"
	"hitchspring/internal/discovery"
	"hitchspring/internal/settings"
	"hitchspring/internal/store"
	"hitchspring/internal/zones"
	"hitchspring/policy"
)

const (
	minSockets            = 128
	memoryShares          = 8         // one share each: requests, front input, unread answers, backend replies, tenants
	recentIDShare         = 32        // part of the memory for ids of requests that may have run
	tenantBytes           = 1 << 10   // of the engine's state of a tenant, with what the runtime adds
	defaultMemory         = 256 << 20 // bytes
	defaultConnectTimeout = 250 * time.Millisecond
	defaultMaxOpen        = 20000 // open requests
	defaultIdleTimeout    = 15 * time.Second
)

// Config is the configuration of a core.
type Config struct {
	// Processor is charged for the loop's processor time; nil: nothing is charged.
	Processor *cputime.Scheduler

	Discovery        string         // address of the discovery service
	Seed             uint64         // of all random numbers
	Sockets          int            // max file descriptors of the core and the fronts together
	Memory           int            // max bytes of the core and the fronts together; 0: defaultMemory
	InitialEndpoints discovery.List // the endpoint list until discovery sends one
	Settings         policy.Settings
	NewCounter       func(store.Sink) (store.Counter, error) // creates the shared counter; nil: there is none
	Connections      settings.Connections
	Leases           *LeaseConfig    // leases for callers who send attempts themselves; nil: none are granted
	Zones            *zones.Config   // nil: zones are not tracked, and a backend of another zone costs a fixed factor
	Summary          time.Duration   // interval between two summary lines of the log; 0: no summary lines
	LogRequests      bool            // write a log line for the end of each request
	Siblings         int             // sibling processes of this instance at the start, which share its limits
	CountBackends    bool            // keep the metrics of the endpoint list up to date
	SharedIDs        SharedIDs       // exchanges ids with other processes of this instance; nil: there are none
	Overrides        OverrideStore   // persists operators' overrides; nil: they end with the process
	Peers            Peers           // other instances, to share observations of backends with; nil: none are shared
	ClockError       ClockError      // simulated clock error, for tests
	Escrow           Transport       // carries transfers of quota shares; nil: all instances have equal shares
	Takeover         *TakeoverConfig // nil: no other instance completes this one's work after its end
}

// validate returns an error that names the first invalid field.
func (cfg Config) validate() error {
	if cfg.Sockets < minSockets {
		return fmt.Errorf("%d sockets are too few: %d at least", cfg.Sockets, minSockets)
	}
	if cfg.Settings.Counter && cfg.NewCounter == nil {
		return errors.New("the settings name a shared counter, and there is none")
	}
	if _, _, err := net.SplitHostPort(cfg.Discovery); cfg.Discovery != "" && err != nil {
		return fmt.Errorf("not an address: %w", err)
	}
	return nil
}

// withDefaults returns the configuration with defaults in place of limits that are not set.
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
	if cfg.Settings.MaxTenants <= 0 {
		cfg.Settings.MaxTenants = cfg.Memory / memoryShares / tenantBytes
	}
	return cfg
}
