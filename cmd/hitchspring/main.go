// Command hitchspring is the ingress: clients on one side, backends on the other, the decision module between.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"syscall"
	"time"

	"hitchspring/internal/config"
	"hitchspring/internal/core"
	"hitchspring/internal/discovery"
	"hitchspring/internal/front/forwardauth"
	"hitchspring/internal/handover"
	"hitchspring/internal/ingress"
	"hitchspring/internal/peers"
	"hitchspring/internal/settings"
	"hitchspring/internal/store"
	"hitchspring/internal/store/redis"
	"hitchspring/internal/zones"
	"hitchspring/policy"
)

// processes of one ingress that may be there at one time, where the platform replaces them in service.
const overlappingProcesses = 2

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := runCommand(os.Args[1:], os.Stdout, log); err != nil {
		fmt.Fprintln(os.Stderr, "hitchspring:", err)
		os.Exit(1)
	}
}

// configFile is the form of the configuration.
type configFile struct {
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Counter   string         `json:"counter"`
	Seed      string         `json:"seed"`
	AdminAddr string         `json:"admin_addr"`
	Known     discovery.List `json:"known"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings json.RawMessage `json:"settings"`

	socketFD int // of the clients' listening socket, where the platform holds it; 0: it does not
}

// load reads the configuration file and checks it whole, with the options.
func load(path string, o *config.Options, log *slog.Logger) (ingress.Config, *configFile, error) {
	var f configFile
	fail := func(err error) (ingress.Config, *configFile, error) {
		return ingress.Config{}, nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fail(err)
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return fail(err)
	}
	if f.Listen == "" || f.Discovery == "" || len(f.Settings) == 0 {
		return fail(errors.New("listen, discovery and settings are wanted"))
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return fail(fmt.Errorf("seed: %w", err))
	}
	set, conns, err := settings.Parse(f.Settings)
	if err != nil {
		return fail(err)
	}
	cfg := ingress.Config{Listen: f.Listen, Counter: f.Counter, Config: core.Config{
		Discovery: f.Discovery, Seed: seed,
		Sockets: f.Limits.Sockets, Memory: int(f.Limits.MemoryMB << 20), Known: f.Known, Settings: *set, Connections: conns,
	}}
	if st := o.Store; st != nil && st.Kind == config.StoreRedis {
		cfg.Counter = st.Address
		cfg.Store = func(sink store.Sink) (store.Counter, error) {
			return redis.New(redisOptions(st, set.CounterTimeout), log, sink)
		}
	}
	if fa := o.ForwardAuth; fa != nil {
		auth, leases, err := forwardAuthConfig(fa, set)
		if err != nil {
			return fail(err)
		}
		cfg.Auth, cfg.Leases = auth, leases
	}
	if cfg.Admin = os.Getenv("ROUTER_ADMIN_ADDR"); cfg.Admin == "" { // the variable is what differs from process to process
		cfg.Admin = f.AdminAddr
	}
	if fd := os.Getenv("ROUTER_SOCKET_FD"); fd != "" {
		if f.socketFD, err = strconv.Atoi(fd); err != nil || f.socketFD < 3 {
			return ingress.Config{}, nil, fmt.Errorf("ROUTER_SOCKET_FD %q: the number of an open descriptor is wanted", fd)
		}
	}
	if f.socketFD > 0 { // the limit holds for two processes together
		cfg.Memory /= overlappingProcesses
	}
	if cfg.Admin != "" || f.socketFD > 0 { // who else would have something to keep
		cfg.StateDir = os.Getenv("TMPDIR")
	}
	if o.Metrics != nil {
		cfg.Metrics = o.Metrics.Listen
	}
	if o.Log != nil {
		cfg.Summary, cfg.LogRequests = time.Duration(o.Log.SummaryInterval), o.Log.LogRequests
	}
	if h := o.Zones; h != nil {
		cfg.ZoneDrains = h.Drains
		cfg.Zones = &zones.Config{
			Near: h.Near, NearPrice: h.NearPrice, FarPrice: h.FarPrice, Overprovision: h.Overprovision, Panic: h.Panic,
			Ramp: time.Duration(h.MaxRamp), RampFrom: h.RampFrom, Forget: time.Duration(h.ForgetAfter),
		}
	}
	if p := o.Peers; p != nil {
		cfg.Peers = &peers.Config{Name: p.Name, Listen: p.Listen, Advertise: p.Advertise, Seeds: p.Seeds, SeedsFile: p.SeedsFile, KeyFile: p.KeyFile, Dial: p.Dial}
	}
	cfg.EnableTakeover, cfg.EnableEscrow = o.Takeover != nil, o.Escrow != nil
	if c := o.Clock; c != nil {
		cfg.Clock = core.Clock{Ahead: time.Duration(c.Offset), Rate: c.Rate}
	}
	if _, err := ingress.New(cfg, log); err != nil { // one that is not run holds nothing
		return fail(err)
	}
	return cfg, &f, nil
}

// forwardAuth is the front for gates; its rules must name classes and plans of the settings.
func forwardAuthConfig(fa *config.ForwardAuth, set *policy.Settings) (*ingress.Auth, *core.Leases, error) {
	networks, _, err := fa.TrustedNetworks()
	if err != nil {
		return nil, nil, err
	}
	var rules []forwardauth.Rule
	for i, r := range fa.Rules {
		known := r.Class != "" && slices.ContainsFunc(set.Classes, func(c policy.Class) bool { return c.Name == r.Class })
		planned := r.Plan == "" || slices.ContainsFunc(set.Plans, func(p policy.Plan) bool { return p.Name == r.Plan })
		switch {
		case !known:
			return nil, nil, fmt.Errorf("forward_auth.rule[%d]: class %q is none of the settings", i, r.Class)
		case !planned:
			return nil, nil, fmt.Errorf("forward_auth.rule[%d]: plan %q is none of the settings", i, r.Plan)
		}
		rules = append(rules, forwardauth.Rule(r))
	}
	table, err := forwardauth.NewTable(rules)
	if err != nil {
		return nil, nil, fmt.Errorf("forward_auth.%w", err)
	}
	d := func(x config.Duration) time.Duration { return time.Duration(x) }
	return &ingress.Auth{Listen: fa.Listen, Table: table, Config: forwardauth.Config{
			Prefix: fa.PathPrefix, Trusted: networks, Header: fa.HeaderPrefix, MaxCalls: fa.MaxCalls, MaxConnections: fa.MaxConnections,
			MaxHeaderBytes: fa.MaxHeaderBytes, MaxBodyBytes: 64 << 10, HeaderTimeout: d(fa.HeaderTimeout), IdleTimeout: d(fa.IdleTimeout), MaxReports: 1000,
		}},
		&core.Leases{Timeout: d(fa.LeaseTimeout), StartWithin: d(fa.StartWithin), Retention: d(fa.Retention), MaxRequests: fa.MaxRequests}, nil
}

// redisOptions are the options of a store on Redis; timeout is that of a call.
func redisOptions(s *config.Store, timeout time.Duration) redis.Options {
	o := redis.Options{
		Address: s.Address, Sentinels: s.Sentinels, Master: s.PrimaryName, Username: s.Username, Database: s.Database,
		Prefix: s.KeyPrefix, Shards: s.Shards, ConnectTimeout: time.Duration(s.ConnectTimeout), Timeout: timeout,
	}
	if s.PasswordFile != "" {
		o.Password = s.Password
	}
	if s.TLS != nil {
		o.TLS = s.TLS.Config
	}
	return o
}

func serve(options string, log *slog.Logger) error {
	// From the start on, so that a SIGHUP never meets the default, which ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return errors.New("ROUTER_CONFIG names no configuration file")
	}
	o, err := config.Load(options)
	if err != nil {
		return err
	}
	cfg, f, err := load(path, o, log)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(f.Limits.Cores)))
	if f.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.Memory) / 4 * 3)
	}
	if f.socketFD > 0 {
		if cfg.Listener, err = handover.InheritedListener(f.socketFD); err != nil {
			return fmt.Errorf("ROUTER_SOCKET_FD: %w", err)
		}
	}
	gw, err := ingress.New(cfg, log)
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- gw.Run(ctx) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-hup: // also during a shutdown, where it must do no harm
			reload(path, options, o, gw, log)
		}
	}
}

// reload moves the ingress to the addresses that the files name now; a bad file changes nothing. began are the options
// of the start: what else has changed in them waits for the next one.
func reload(path, options string, began *config.Options, gw *ingress.Instance, log *slog.Logger) {
	o, err := config.Load(options)
	if err != nil {
		log.Error("the old options are kept", "err", err)
		return
	}
	cfg, _, err := load(path, o, log)
	if err != nil {
		log.Error("the old configuration is kept", "err", err)
		return
	}
	if !o.Store.EqualExceptAddress(began.Store) {
		log.Error("the old options are kept: of the store only the address can change in service", "options", options)
		return
	}
	if !reflect.DeepEqual(o.Zones, began.Zones) {
		log.Error("the old options are kept: of halls nothing can change in service but what the file of drills says", "options", options)
		return
	}
	if !reflect.DeepEqual(o.Peers, began.Peers) || !reflect.DeepEqual(o.Clock, began.Clock) || !reflect.DeepEqual(o.Takeover, began.Takeover) || !reflect.DeepEqual(o.Escrow, began.Escrow) {
		log.Error("the old options are kept: of peers nothing can change in service but what the files of keys and seeds say", "options", options)
		return
	}
	if !o.ForwardAuth.EqualExceptRules(began.ForwardAuth) {
		log.Error("the old options are kept: of forward_auth only the rules can change in service", "options", options)
		return
	}
	log.Info("new configuration", "discovery", cfg.Discovery, "counter", cfg.Counter)
	if cfg.Auth != nil {
		gw.SetRules(cfg.Auth.Table)
	}
	gw.SetAddresses(cfg.Discovery, cfg.Counter)
}
