package main

import (
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"time"

	"hitchspring/internal/config"
	"hitchspring/internal/core"
	"hitchspring/internal/front/forwardauth"
	"hitchspring/internal/ingress"
	"hitchspring/internal/peers"
	"hitchspring/internal/settings"
	"hitchspring/internal/store"
	"hitchspring/internal/store/redis"
	"hitchspring/internal/zones"
	"hitchspring/policy"
)

const (
	// overlappingProcesses is the maximum number of processes of one ingress that run at the same time, which happens
	// while the platform replaces one by the next.
	overlappingProcesses = 2

	// Limits for one call of forward authentication.
	maxAuthBodyBytes = 64 << 10
	maxAuthReports   = 1000
)

// configuration combines the configuration file, the environment variables and the options.
type configuration struct {
	ingress  ingress.Config
	file     *configFile
	socketFD int // descriptor of the inherited listening socket; 0: none
}

// loadConfiguration reads the configuration file, combines it with the environment and the options, and validates the
// result. It starts nothing.
func loadConfiguration(path string, options *config.Options, log *slog.Logger) (*configuration, error) {
	c, err := parseConfiguration(path, options, log)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := c.applyEnvironment(); err != nil {
		return nil, err
	}
	c.applyOptions(options)
	if _, err := ingress.New(c.ingress, log); err != nil { // validates; an instance holds no resources until it runs
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// parseConfiguration reads the configuration file, and applies the options that depend on its settings.
func parseConfiguration(path string, options *config.Options, log *slog.Logger) (*configuration, error) {
	file, err := readConfigFile(path)
	if err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	set, connections, err := settings.Parse(file.Settings)
	if err != nil {
		return nil, err
	}
	c := &configuration{file: file, ingress: ingress.Config{
		Listen:  file.Listen,
		Counter: file.Counter,
		Admin:   file.AdminAddr,
		Config: core.Config{
			Discovery:        file.Discovery,
			Seed:             seed,
			Sockets:          file.Limits.Sockets,
			Memory:           int(file.Limits.MemoryMB << 20),
			InitialEndpoints: file.Known,
			Settings:         *set,
			Connections:      connections,
		},
	}}
	if s := options.Store; s != nil && s.Kind == config.StoreRedis {
		c.ingress.Counter = s.Address
		c.ingress.NewCounter = func(sink store.Sink) (store.Counter, error) {
			return redis.New(redisOptions(s, set.CounterTimeout), log, sink)
		}
	}
	if options.ForwardAuth != nil {
		c.ingress.Auth, err = forwardAuthConfig(options.ForwardAuth, set)
		if err != nil {
			return nil, err
		}
		c.ingress.Leases = leaseConfig(options.ForwardAuth)
	}
	return c, nil
}

// applyEnvironment applies the platform's environment variables, which configure this process only.
func (c *configuration) applyEnvironment() (err error) {
	if addr := os.Getenv(adminAddrVariable); addr != "" {
		c.ingress.Admin = addr
	}
	if c.socketFD, err = inheritedSocket(); err != nil {
		return err
	}
	if c.socketFD > 0 { // the memory limit is shared by the overlapping processes
		c.ingress.Memory /= overlappingProcesses
	}
	if c.ingress.Admin != "" || c.socketFD > 0 { // otherwise there is no state to hand over
		c.ingress.StateDir = os.Getenv(stateDirVariable)
	}
	return nil
}

// applyOptions applies the options that do not depend on the settings of the configuration file.
func (c *configuration) applyOptions(options *config.Options) {
	cfg := &c.ingress
	if m := options.Metrics; m != nil {
		cfg.Metrics = m.Listen
	}
	if l := options.Log; l != nil {
		cfg.Summary = time.Duration(l.SummaryInterval)
		cfg.LogRequests = l.LogRequests
	}
	if z := options.Zones; z != nil {
		cfg.ZoneDrains = z.DrainFile
		cfg.Zones = zonesConfig(z)
	}
	if p := options.Peers; p != nil {
		cfg.Peers = &peers.Config{
			Name:      p.Name,
			Listen:    p.Listen,
			Advertise: p.Advertise,
			Seeds:     p.Seeds,
			SeedsFile: p.SeedsFile,
			KeyFile:   p.KeyFile,
			Dial:      p.Dial,
		}
	}
	cfg.EnableTakeover = options.Takeover != nil
	cfg.EnableEscrow = options.Escrow != nil
	if clock := options.ClockError; clock != nil {
		cfg.ClockError = core.ClockError{Offset: time.Duration(clock.Offset), Rate: clock.Rate}
	}
}

// zonesConfig returns the configuration of the zone tracker.
func zonesConfig(z *config.Zones) *zones.Config {
	return &zones.Config{
		Near:                 z.Near,
		NearPrice:            z.NearPrice,
		FarPrice:             z.FarPrice,
		Overprovision:        z.Overprovision,
		Panic:                z.Panic,
		MaxRampDuration:      time.Duration(z.MaxRampDuration),
		RampFrom:             z.RampFrom,
		CautionDecayInterval: time.Duration(z.CautionDecayInterval),
	}
}

// forwardAuthConfig returns the configuration of forward authentication. It returns an error for a rule with a class or
// plan that is not in the settings.
func forwardAuthConfig(f *config.ForwardAuth, set *policy.Settings) (*ingress.ForwardAuth, error) {
	networks, err := f.TrustedNetworks()
	if err != nil {
		return nil, err
	}
	rules := make([]forwardauth.Rule, 0, len(f.Rules))
	for i, rule := range f.Rules {
		if err := checkRule(rule, set); err != nil {
			return nil, fmt.Errorf("forward_auth.rule[%d]: %w", i, err)
		}
		rules = append(rules, forwardauth.Rule(rule))
	}
	table, err := forwardauth.NewTable(rules)
	if err != nil {
		return nil, fmt.Errorf("forward_auth.%w", err)
	}
	return &ingress.ForwardAuth{Listen: f.Listen, Table: table, Config: forwardauth.Config{
		Prefix:         f.PathPrefix,
		Trusted:        networks,
		Header:         f.HeaderPrefix,
		MaxCalls:       f.MaxCalls,
		MaxConnections: f.MaxConnections,
		MaxHeaderBytes: f.MaxHeaderBytes,
		MaxBodyBytes:   maxAuthBodyBytes,
		HeaderTimeout:  time.Duration(f.HeaderTimeout),
		IdleTimeout:    time.Duration(f.IdleTimeout),
		MaxReports:     maxAuthReports,
	}}, nil
}

// checkRule returns an error if the class or the plan of a rule is not in the settings.
func checkRule(rule config.AuthRule, set *policy.Settings) error {
	hasClass := func(c policy.Class) bool { return c.Name == rule.Class }
	hasPlan := func(p policy.Plan) bool { return p.Name == rule.Plan }
	if rule.Class == "" || !slices.ContainsFunc(set.Classes, hasClass) {
		return fmt.Errorf("class %q is none of the settings", rule.Class)
	}
	if rule.Plan != "" && !slices.ContainsFunc(set.Plans, hasPlan) {
		return fmt.Errorf("plan %q is none of the settings", rule.Plan)
	}
	return nil
}

// leaseConfig returns the configuration of the leases for attempts that callers of forward authentication send
// themselves.
func leaseConfig(f *config.ForwardAuth) *core.LeaseConfig {
	return &core.LeaseConfig{
		Timeout:     time.Duration(f.LeaseTimeout),
		StartWithin: time.Duration(f.StartWithin),
		Retention:   time.Duration(f.Retention),
		MaxRequests: f.MaxRequests,
	}
}

// redisOptions returns the options of the Redis store; timeout is the limit for one call.
func redisOptions(s *config.Store, timeout time.Duration) redis.Options {
	o := redis.Options{
		Address:        s.Address,
		Sentinels:      s.Sentinels,
		Master:         s.PrimaryName,
		Username:       s.Username,
		Database:       s.Database,
		Prefix:         s.KeyPrefix,
		Shards:         s.Shards,
		ConnectTimeout: time.Duration(s.ConnectTimeout),
		Timeout:        timeout,
	}
	if s.PasswordFile != "" {
		o.Password = s.Password
	}
	if s.TLS != nil {
		o.TLS = s.TLS.Config
	}
	return o
}
