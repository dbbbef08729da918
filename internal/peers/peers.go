// Package peers connects an instance with its peers over UDP. Its datagrams are
// encrypted and authenticated with shared keys. They carry the membership protocol
// (package swim), the exchange of facts (package gossip) and messages of other
// components of an instance.
//
// Engine implements the protocol without I/O and is given the time and a random
// source, so that tests can run thousands of instances in virtual time. Peers adds
// the socket, the files and the log. The package is independent of requests,
// backends and policy.
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

	// Incarnation identifies this process; a process started later must have a
	// higher one.
	Incarnation uint64

	Listen    string // host:port, UDP
	Advertise string // host:port at which other instances reach this one; empty: Listen

	// WaitForAddress says that another process of this instance may still use the
	// address Listen. This process then joins as soon as the other one has ended.
	WaitForAddress bool

	Seeds     []string // advertised addresses of other instances
	SeedsFile string   // file with such addresses, in place of Seeds; reloaded when it changes
	KeyFile   string   // file with the shared keys; reloaded when it changes

	// Dial maps advertised addresses to the addresses to send to, where they differ.
	Dial map[string]string

	// Clock reads a monotonic clock.
	Clock func() time.Duration

	// OnMessages is called with messages from other instances, by one goroutine at
	// a time. It may block. If it is nil, messages are dropped.
	OnMessages func([]Message)

	// OnChange is called with changes of the membership in the order in which
	// they happened, by one goroutine at a time. It may block. It may be nil.
	OnChange func([]swim.Change)

	// Seed is the seed of the random numbers.
	Seed uint64
}

// maxQueuedSends is the capacity of the send queue: one message to each member of
// a fleet of 1,024.
const maxQueuedSends = 1024

// Peers is this instance's connection to its peers. Its methods are safe for
// concurrent use. None of them waits for I/O, except Close.
//
// Start starts a goroutine for run, which ticks the engine and starts further
// goroutines for read (incoming datagrams) and sendQueued (queued messages).
// Close stops all of them.
type Peers struct {
	cfg    Config
	log    *slog.Logger
	sealer *Sealer
	conn   *net.UDPConn // nil until the socket is open, constant afterwards
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// openSocket is net.ListenUDP, except in tests.
	openSocket func(network string, addr *net.UDPAddr) (*net.UDPConn, error)

	wake      chan struct{}        // capacity 1; signals that NextTick may have moved to an earlier time
	sendQueue chan outgoingMessage // messages are dropped while it is full
	synced    chan struct{}        // closed by read once a complete response was received

	logLimit     logLimiter
	boundReports boundReports // used only by run
	droppedSends atomic.Int64 // messages dropped because sendQueue was full
	readErrors   atomic.Int64 // failed reads of the socket

	// mu guards the fields below. It is not locked during I/O.
	mu           sync.Mutex
	engine       *Engine
	dialAddrs    map[string]netip.AddrPort // address to send to, by advertised address; invalid ones are skipped
	advertised   map[netip.AddrPort]string // the inverse of dialAddrs
	rejected     rejectedDatagrams
	failedWrites int           // datagrams that could not be written
	unreported   []swim.Change // changes still to be reported by the goroutine that is reporting
	reporting    bool          // a goroutine is reporting changes in reportNewChanges
}

// outgoingMessage is a message in the send queue.
type outgoingMessage struct {
	to   string // name of the member
	data []byte
}

// Start checks the configuration, opens the socket and joins the group until Close
// is called. If the address is in use and WaitForAddress is set, it joins as soon
// as the address is free.
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

// Close leaves the group and waits until all goroutines have ended.
func (p *Peers) Close() {
	p.cancel()
	p.wg.Wait()
}

// Name returns the name of this instance.
func (p *Peers) Name() string { return p.cfg.Name }

// Send queues a message to a member without blocking. Delivery is not guaranteed:
// the network may lose the message, and it is dropped and counted if the send
// queue is full.
func (p *Peers) Send(to string, data []byte) {
	select {
	case p.sendQueue <- outgoingMessage{to, data}:
	default:
		p.droppedSends.Add(1)
	}
}

// Publish stores and announces a fact of this instance. observedAt is a time of
// its clock. The fact replaces an earlier one of the same kind and subject.
func (p *Peers) Publish(kind, subject string, observedAt time.Duration, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.engine.Publish(kind, subject, observedAt, data) {
		p.wakeRun()
	}
}

// Facts returns all known facts of a kind, including this instance's own, and the
// zones of their owners, by owner name.
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

// Version returns a number that is incremented whenever the facts change.
func (p *Peers) Version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engine.facts.Version()
}

// Synced returns a channel that is closed once this instance has received all
// facts that another instance had.
func (p *Peers) Synced() <-chan struct{} { return p.synced }

// ClockReading returns the latest known reading of a member's monotonic clock, or
// 0 if there is none.
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
