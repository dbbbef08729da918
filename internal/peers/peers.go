package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

// Config is one instance among its peers.
type Config struct {
	Name           string
	Listen         string // host:port, UDP
	Advertise      string // host:port at which others find it; empty: where it listens
	Zone           string
	Seeds          []string          // advertised addresses of others
	SeedsFile      string            // one on a line, in place of Seeds; read again when it changes
	KeyFile        string            // read again when it changes
	Dial           map[string]string // what is dialled for an advertised address, where that differs
	WaitForAddress bool              // another process of this instance may still hold Listen: wait for it
	Clock          func() time.Duration
	OnMessages     func([]Message)     // bytes that others have sent; called by one goroutine, may wait; nil: nobody listens
	OnChange       func([]swim.Change) // who is there has changed; called by several goroutines, may wait; nil: nobody listens
	Incarnation    uint64              // of this process: later ones have higher ones
	Seed           uint64
}

const (
	fileCheckInterval   = time.Second            // the files are looked at again
	leaveGrace          = 60 * time.Millisecond  // from the last word to the socket's end
	maxLinesPerSecond   = 20                     // log lines of one kind in a second
	summaryInterval     = 10 * time.Second       // between two lines on what was left aside
	listenRetryInterval = 100 * time.Millisecond // where another process holds the address
	maxTickInterval     = time.Second
	readBufferBytes     = 64 << 10
	socketBufferBytes   = 1 << 20
)

// Peers is a running instance among its peers. Its methods are safe for many goroutines; they wait for no I/O.
type Peers struct {
	cfg       Config
	log       *slog.Logger
	sealer    *Sealer
	conn      *net.UDPConn
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	wake      chan struct{}        // room for one: Due may have come closer
	sendQueue chan outgoingMessage // to be sent; what finds no room is lost, as on the way
	logLimit  logLimiter
	synced    chan struct{} // closed when another has told all that it knows
	bounds    boundReports

	unqueued atomic.Int64 // messages that found the queue full

	mu         sync.Mutex // of all below; never held over I/O
	engine     *Engine
	dialAddrs  map[string]netip.AddrPort
	advertised map[netip.AddrPort]string // what is dialled, and whose it is
	asideN     int                       // datagrams left aside since the last line
	aside      error
	asideA     string
	asideT     time.Duration
	unsent     int
}

// work is bytes for a member.
type outgoingMessage struct {
	to   string
	data []byte
}

// maxQueuedSends bounds the messages that wait to be sent: one to each member of a fleet of 1,024.
const maxQueuedSends = 1024

// Send sends bytes to a member, as well as can be; it waits for nothing. What finds the queue full is counted and dropped, as if it
// were lost on the way.
func (p *Peers) Send(to string, data []byte) {
	select {
	case p.sendQueue <- outgoingMessage{to, data}:
	default:
		p.unqueued.Add(1)
	}
}

// ClockOf is the newest reading of a member's clock that was heard; 0: none.
func (p *Peers) ClockReading(name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engine.ClockReading(name)
}

// Members are the others that are held to be there, the suspected among them.
func (p *Peers) Members() (out []swim.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.engine.membership.Members() {
		if m.State <= swim.Suspect {
			out = append(out, m.Update)
		}
	}
	return out
}

// carry sends what others are to have, until ctx ends.
func (p *Peers) sendQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-p.sendQueue:
			p.mu.Lock()
			out := p.engine.SendMessage(p.cfg.Clock(), w.to, w.data)
			p.mu.Unlock()
			p.send(out)
		}
	}
}

// Start checks the configuration, opens the socket and takes part until Close. Where the address is held by another process
// of this instance, and Patient is set, it takes part when that has gone.
func Start(cfg Config, log *slog.Logger) (*Peers, error) {
	if cfg.Advertise == "" {
		cfg.Advertise = cfg.Listen
	}
	keys, err := ReadKeys(cfg.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("peers.key_file: %w", err)
	}
	sealer, err := NewSealer(keys)
	if err != nil {
		return nil, fmt.Errorf("peers.key_file: %w", err)
	}
	p := &Peers{cfg: cfg, log: log, sealer: sealer, wake: make(chan struct{}, 1), sendQueue: make(chan outgoingMessage, maxQueuedSends), synced: make(chan struct{}), dialAddrs: map[string]netip.AddrPort{}, advertised: map[netip.AddrPort]string{}}
	if cfg.SeedsFile != "" {
		if p.cfg.Seeds, err = ReadSeeds(cfg.SeedsFile); err != nil {
			return nil, fmt.Errorf("peers.seeds_file: %w", err)
		}
	}
	if err := p.checkSeeds(p.cfg.Seeds); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation))
	p.engine = NewEngine(swim.Config{Name: cfg.Name, Addr: cfg.Advertise, Zone: cfg.Zone, Incarnation: cfg.Incarnation, Seeds: p.cfg.Seeds}, sealer, cfg.Clock(), rng)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	err = p.listen()
	if err != nil && !(cfg.WaitForAddress && errors.Is(err, syscall.EADDRINUSE)) {
		cancel()
		return nil, fmt.Errorf("peers.listen %q: %w", cfg.Listen, err)
	}
	p.wg.Go(func() { p.run(ctx) })
	return p, nil
}

// others says whether a list of seeds holds anybody else.
func (p *Peers) checkSeeds(seeds []string) error {
	if len(seeds) == 0 {
		return errors.New("peers.seeds: there are none: an instance without seeds would find nobody")
	}
	if i := slices.Index(seeds, p.cfg.Advertise); i >= 0 {
		if len(seeds) == 1 {
			return fmt.Errorf("peers.seeds %q: that is this instance itself, and there is no other", seeds)
		}
		p.log.Info("peers: one of the seeds is this instance itself, and is left out", "seed", seeds[i])
	}
	return nil
}

// ReadSeeds reads addresses from a file, one on a line.
func ReadSeeds(file string) (out []string, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		if _, err := netip.ParseAddrPort(line); err != nil {
			return nil, fmt.Errorf("%s: %q is no address and port", file, line)
		}
		out = append(out, line)
	}
	return out, nil
}

func (p *Peers) listen() error {
	at, err := netip.ParseAddrPort(p.cfg.Listen)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return err
	}
	conn.SetReadBuffer(socketBufferBytes) // as much as the system lets it have
	if err := enableRefusals(conn); err != nil {
		p.log.Info("peers: a death is told by silence alone: the system does not say what hosts turn back", "err", err)
	}
	p.conn = conn
	return nil
}

// run takes part until ctx ends.
func (p *Peers) run(ctx context.Context) {
	for p.conn == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(listenRetryInterval):
		}
		if err := p.listen(); err != nil && !errors.Is(err, syscall.EADDRINUSE) {
			p.log.Error("takes no part among its peers", "err", fmt.Errorf("peers.listen %q: %w", p.cfg.Listen, err))
			return
		}
	}
	p.log.Info("takes part among its peers", "name", p.cfg.Name, "listen", p.conn.LocalAddr(), "advertise", p.cfg.Advertise, "life", p.cfg.Incarnation)
	var reading sync.WaitGroup
	reading.Go(p.read)
	reading.Go(func() { p.sendQueued(ctx) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	files := p.cfg.Clock()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			continue
		case <-timer.C:
		case <-p.wake:
		}
		now := p.cfg.Clock()
		if now-files > fileCheckInterval {
			files = now
			p.reloadFiles()
		}
		p.mu.Lock()
		out := p.engine.Tick(now)
		changes, due := p.engine.membership.Changes(), p.engine.NextTick()
		p.mu.Unlock()
		p.send(out)
		p.reportChanges(changes)
		p.reportBounds(now)
		timer.Reset(min(max(due-p.cfg.Clock(), 0), maxTickInterval))
	}
	p.mu.Lock()
	out := p.engine.Leave(p.cfg.Clock())
	p.mu.Unlock()
	p.send(out)
	time.Sleep(leaveGrace) // what was written is on its way
	p.conn.Close()
	reading.Wait()
}

// read takes datagrams in until the socket ends.
func (p *Peers) read() {
	b := make([]byte, readBufferBytes)
	informed := false
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // of an earlier write: who is not there refuses it
			p.handleRefusals()
			continue
		}
		now := p.cfg.Clock()
		p.mu.Lock()
		out, err := p.engine.Receive(now, b[:n])
		if err != nil {
			p.asideN++
			p.aside, p.asideA = err, from.String()
		}
		changes, parcels, told := p.engine.membership.Changes(), p.engine.TakeMessages(), p.engine.Synced()
		p.mu.Unlock()
		if told && !informed {
			informed = true
			close(p.synced)
		}
		p.send(out)
		p.reportChanges(changes)
		p.reportRejected(now)
		if len(parcels) > 0 && p.cfg.OnMessages != nil {
			p.cfg.OnMessages(parcels)
		}
		if len(changes) > 0 {
			p.wakeRun()
		}
	}
}

// refused takes in whose host has turned a datagram back.
func (p *Peers) handleRefusals() {
	for _, to := range readRefusals(p.conn) {
		p.mu.Lock()
		var out []Packet
		if addr := p.advertised[to]; addr != "" {
			out = p.engine.HandleRefusal(p.cfg.Clock(), addr)
		}
		changes := p.engine.membership.Changes()
		p.mu.Unlock()
		p.send(out)
		p.reportChanges(changes)
		if len(changes) > 0 {
			p.wakeRun()
		}
	}
}

func (p *Peers) wakeRun() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// send writes datagrams; one that cannot be written is as good as lost on the way.
func (p *Peers) send(out []Packet) {
	for _, x := range out {
		to, ok := p.dialAddr(x.Addr)
		if ok {
			_, err := p.conn.WriteToUDPAddrPort(x.Data, to)
			if errors.Is(err, syscall.ECONNREFUSED) { // that is of an earlier one, and this was not written
				_, err = p.conn.WriteToUDPAddrPort(x.Data, to)
			}
			ok = err == nil
		}
		if !ok {
			p.mu.Lock()
			p.unsent++
			p.mu.Unlock()
		}
	}
}

// dial is where an advertised address is reached.
func (p *Peers) dialAddr(advertised string) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to, known := p.dialAddrs[advertised]
	if !known {
		if len(p.dialAddrs) > 8192 {
			clear(p.dialAddrs)
			clear(p.advertised)
		}
		at := advertised
		if d := p.cfg.Dial[advertised]; d != "" {
			at = d
		}
		to, _ = netip.ParseAddrPort(at)
		p.dialAddrs[advertised] = to
		p.advertised[to] = advertised
	}
	return to, to.IsValid()
}

// reread takes over other keys and seeds; files that say nothing usable change nothing.
func (p *Peers) reloadFiles() {
	if keys, err := ReadKeys(p.cfg.KeyFile); err != nil {
		if p.logLimit.allow("key") {
			p.log.Error("the old keys are kept", "err", fmt.Errorf("peers.key_file: %w", err))
		}
	} else if err := p.sealer.Set(keys); err != nil {
		p.log.Error("the old keys are kept", "err", err)
	}
	if p.cfg.SeedsFile == "" {
		return
	}
	seeds, err := ReadSeeds(p.cfg.SeedsFile)
	if err != nil {
		if p.logLimit.allow("seeds") {
			p.log.Error("the old seeds are kept", "err", fmt.Errorf("peers.seeds_file: %w", err))
		}
		return
	}
	p.mu.Lock()
	p.engine.membership.SetSeeds(seeds)
	p.mu.Unlock()
}

// tellOf logs what has changed among the members.
func (p *Peers) reportChanges(changes []swim.Change) {
	for _, c := range changes {
		if !p.logLimit.allow("change") {
			continue
		}
		switch {
		case c.Forgotten:
			p.log.Info("a member is forgotten", "member", c.Name, "life", c.Incarnation)
		case c.State == swim.Alive && c.New:
			p.log.Info("a member is there", "member", c.Name, "addr", c.Addr, "hall", c.Zone, "life", c.Incarnation)
		case c.State == swim.Alive:
			p.log.Info("a member is there after all", "member", c.Name, "was", c.Previous.String())
		case c.State == swim.Suspect:
			p.log.Warn("a member does not answer", "member", c.Name, "by", c.SuspectedBy)
		case c.State == swim.Dead:
			p.log.Warn("a member is held to be dead", "member", c.Name, "by", c.SuspectedBy)
		case c.State == swim.Left:
			p.log.Info("a member has left", "member", c.Name)
		}
	}
	if len(changes) > 0 && p.cfg.OnChange != nil {
		p.cfg.OnChange(changes)
	}
	if len(changes) > 0 {
		p.mu.Lock()
		over := p.engine.membership.LeftReason()
		p.mu.Unlock()
		if over != "" && p.logLimit.once("over") {
			p.log.Error("takes no part among its peers any more", "err", fmt.Errorf("peers.name %q: %s", p.cfg.Name, over))
		}
	}
}

// tellAside logs what was left aside, a line in a while.
func (p *Peers) reportRejected(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asideN == 0 || p.asideT > 0 && now-p.asideT < summaryInterval {
		return
	}
	hint := ""
	if errors.Is(p.aside, ErrKey) {
		hint = "the key in its peers.key_file is another, or it is no peer"
	}
	p.log.Warn("messages are left aside", "count", p.asideN, "last", p.aside, "from", p.asideA, "hint", hint)
	p.asideN, p.asideT = 0, now
}

// Tell states a fact of this instance's own.
func (p *Peers) Publish(kind, subject string, born time.Duration, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.engine.Publish(kind, subject, born, data) {
		p.wakeRun()
	}
}

// Facts are all facts of a kind that are held, this instance's own among them, with the halls of their owners.
func (p *Peers) Facts(kind string) (facts []gossip.Fact, halls map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	facts, halls = p.engine.facts.Facts(p.cfg.Clock(), kind), map[string]string{}
	for _, f := range facts {
		if m, known := p.engine.membership.Member(f.Owner); known {
			halls[f.Owner] = m.Zone
		}
	}
	return facts, halls
}

// Told closes when another instance has told all that it knows.
func (p *Peers) Synced() <-chan struct{} { return p.synced }

// Version changes when the facts have.
func (p *Peers) Version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engine.facts.Version()
}

// Name is this instance's.
func (p *Peers) Name() string { return p.cfg.Name }

// Close leaves, and waits for all goroutines.
func (p *Peers) Close() {
	p.cancel()
	p.wg.Wait()
}

// limiter lets a few lines of a kind through in a second.
type logLimiter struct {
	mu     sync.Mutex
	since  time.Time
	counts map[string]int
	logged map[string]bool

	omitted map[string]int
}

func (l *logLimiter) allow(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.omitted == nil {
		l.omitted = map[string]int{}
	}
	if time.Since(l.since) > time.Second {
		l.since, l.counts = time.Now(), map[string]int{}
	}
	l.counts[kind]++
	if l.counts[kind] > maxLinesPerSecond {
		l.omitted[kind]++
		return false
	}
	return true
}

// omittedSoFar is how many lines of a kind were not let through.
func (l *logLimiter) omittedCount(kind string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.omitted[kind]
}

func (l *logLimiter) once(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logged == nil {
		l.logged = map[string]bool{}
	}
	first := !l.logged[kind]
	l.logged[kind] = true
	return first
}
