// Package peers connects one instance with the others. Over datagrams that only
// holders of a shared key can make or read, it carries the membership protocol
// (package swim), the exchange of facts (package gossip) and messages of other
// parts of an instance. It takes in datagrams, an instance's own facts and its
// messages, and yields the members, the facts of all and the messages of others.
// Engine decides without I/O and has time and chance as arguments, so that
// thousands of instances run in virtual time; Peers adds the socket, the files
// and the log. The package knows neither requests, nor backends, nor policy.
package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

// Config describes one instance and its peers.
type Config struct {
	Name string
	Zone string

	// Incarnation is that of this process: later ones have higher ones.
	Incarnation uint64

	Listen    string // host:port, UDP
	Advertise string // host:port at which others reach this instance; empty: Listen

	// WaitForAddress says that another process of this instance may still hold
	// Listen. The instance then joins as soon as that has ended.
	WaitForAddress bool

	Seeds     []string // advertised addresses of other instances
	SeedsFile string   // file with such addresses, in place of Seeds; reloaded when it changes
	KeyFile   string   // file with the shared keys; reloaded when it changes

	// Dial maps advertised addresses to those that are dialed, where they differ.
	Dial map[string]string

	// Clock returns the time of a monotonic clock.
	Clock func() time.Duration

	// OnMessages is called with messages that others have sent, by one goroutine
	// at a time. It may block. Nil: they are dropped.
	OnMessages func([]Message)

	// OnChange is called with changes of the membership in the order in which
	// they happened, by one goroutine at a time. It may block. Nil: nobody
	// needs them.
	OnChange func([]swim.Change)

	// Seed is that of the random numbers.
	Seed uint64
}

// maxQueuedSends bounds the messages that wait to be sent: one to each member of
// a fleet of 1,024.
const maxQueuedSends = 1024

// Peers is a running instance among its peers. Its methods are safe for
// concurrent use and wait for no I/O, except Close.
//
// Start starts the goroutine run, which ticks the engine, and which starts read
// for the datagrams that arrive and sendQueued for the messages to be sent.
// Close ends them all.
type Peers struct {
	cfg    Config
	log    *slog.Logger
	sealer *Sealer
	conn   *net.UDPConn // nil until the address is free; then constant
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// openSocket is net.ListenUDP, but in tests.
	openSocket func(network string, addr *net.UDPAddr) (*net.UDPConn, error)

	wake      chan struct{}        // capacity 1: the next tick may have come closer
	sendQueue chan outgoingMessage // those that find it full are dropped
	synced    chan struct{}        // closed by read when another instance has sent all that it knows

	logLimit     logLimiter
	boundReports boundReports // used by run alone
	unqueued     atomic.Int64 // messages that found sendQueue full
	readErrors   atomic.Int64 // reads that failed

	// mu guards the fields below. It is not locked during I/O.
	mu         sync.Mutex
	engine     *Engine
	dialAddrs  map[string]netip.AddrPort // what is dialed, by advertised address; an invalid one is not dialed
	advertised map[netip.AddrPort]string // the inverse of dialAddrs
	rejected   rejectedDatagrams
	unsent     int           // datagrams that could not be written
	unreported []swim.Change // what the goroutine that is reporting will report next
	reporting  bool          // a goroutine is in reportNewChanges
}

// outgoingMessage is a message that waits to be sent.
type outgoingMessage struct {
	to   string // name of the member
	data []byte
}

// Start checks the configuration, opens the socket and takes part until Close.
// If another process holds the address and WaitForAddress is set, it joins as
// soon as that one has ended.
func Start(cfg Config, log *slog.Logger) (*Peers, error) {
	if cfg.Advertise == "" {
		cfg.Advertise = cfg.Listen
	}
	p, err := newPeers(cfg, log)
	if err != nil {
		return nil, err
	}
	if err := p.listen(); err != nil {
		if !cfg.WaitForAddress || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, p.listenError(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Go(func() { p.run(ctx) })
	return p, nil
}

// newPeers checks the configuration and returns an instance without a socket.
func newPeers(cfg Config, log *slog.Logger) (*Peers, error) {
	keys, err := ReadKeys(cfg.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("peers.key_file: %w", err)
	}
	sealer, err := NewSealer(keys)
	if err != nil {
		return nil, fmt.Errorf("peers.key_file: %w", err)
	}
	if cfg.SeedsFile != "" {
		if cfg.Seeds, err = ReadSeeds(cfg.SeedsFile); err != nil {
			return nil, fmt.Errorf("peers.seeds_file: %w", err)
		}
	}
	if err := checkSeeds(cfg, log); err != nil {
		return nil, err
	}
	membership := swim.Config{
		Name:        cfg.Name,
		Addr:        cfg.Advertise,
		Zone:        cfg.Zone,
		Incarnation: cfg.Incarnation,
		Seeds:       cfg.Seeds,
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation))
	return &Peers{
		cfg:        cfg,
		log:        log,
		sealer:     sealer,
		openSocket: net.ListenUDP,
		wake:       make(chan struct{}, 1),
		sendQueue:  make(chan outgoingMessage, maxQueuedSends),
		synced:     make(chan struct{}),
		engine:     NewEngine(membership, sealer, cfg.Clock(), rng),
		dialAddrs:  map[string]netip.AddrPort{},
		advertised: map[netip.AddrPort]string{},
	}, nil
}

// Close leaves the group and waits for all goroutines.
func (p *Peers) Close() {
	p.cancel()
	p.wg.Wait()
}

// Name returns the name of this instance.
func (p *Peers) Name() string { return p.cfg.Name }

// Send sends a message to a member, as reliably as the network is. A message
// that finds the queue full is counted and dropped.
func (p *Peers) Send(to string, data []byte) {
	select {
	case p.sendQueue <- outgoingMessage{to, data}:
	default:
		p.unqueued.Add(1)
	}
}

// Publish states a fact of this instance, observed at a time of its clock, in
// place of an earlier one of the same kind and subject.
func (p *Peers) Publish(kind, subject string, observedAt time.Duration, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.engine.Publish(kind, subject, observedAt, data) {
		p.wakeRun()
	}
}

// Facts returns all known facts of a kind, those of this instance among them,
// and the zones of their owners by name.
func (p *Peers) Facts(kind string) ([]gossip.Fact, map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	facts := p.engine.facts.Facts(p.cfg.Clock(), kind)
	zones := map[string]string{}
	for _, fact := range facts {
		if owner, known := p.engine.membership.Member(fact.Owner); known {
			zones[fact.Owner] = owner.Zone
		}
	}
	return facts, zones
}

// Version returns a number that changes whenever the facts do.
func (p *Peers) Version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engine.facts.Version()
}

// Synced returns a channel that is closed when another instance has sent all
// facts that it knows.
func (p *Peers) Synced() <-chan struct{} { return p.synced }

// ClockReading returns the latest known reading of a member's clock; 0 if there
// is none.
func (p *Peers) ClockReading(name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engine.ClockReading(name)
}

// Members returns the other members that are alive or suspected.
func (p *Peers) Members() []swim.Update {
	p.mu.Lock()
	defer p.mu.Unlock()
	var present []swim.Update
	for _, m := range p.engine.membership.Members() {
		if m.State <= swim.Suspect {
			present = append(present, m.Update)
		}
	}
	return present
}
