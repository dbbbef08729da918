package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	listenRetryInterval = 100 * time.Millisecond // between attempts to open the socket
	maxTickInterval     = time.Second
	leaveGrace          = 60 * time.Millisecond // between the last datagram and closing the socket

	readBufferBytes   = 64 << 10 // the largest possible UDP datagram
	socketBufferBytes = 1 << 20
	maxDialAddrs      = 8192 // cached advertised addresses

	maxErrorsWithoutPause = 64 // consecutive failed reads
	readErrorPause        = 10 * time.Millisecond
)

// listen opens the socket and enables refusals on it.
func (p *Peers) listen() error {
	addr, err := netip.ParseAddrPort(p.cfg.Listen)
	if err != nil {
		return err
	}
	conn, err := p.openSocket("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(socketBufferBytes) // on failure the default buffer stays, which only loses more datagrams
	if err := enableRefusals(conn); err != nil {
		p.log.Info("peer refusals unavailable, detecting deaths by silence alone", "err", err)
	}
	p.conn = conn
	return nil
}

func (p *Peers) listenError(err error) error {
	return fmt.Errorf("peers.listen %q: %w", p.cfg.Listen, err)
}

// run takes part in the group until ctx is done, then leaves and closes the socket.
func (p *Peers) run(ctx context.Context) {
	if !p.waitForAddress(ctx) {
		return
	}
	p.log.Info("joined the peer group", "name", p.cfg.Name, "listen", p.conn.LocalAddr(),
		"advertise", p.cfg.Advertise, "incarnation", p.cfg.Incarnation)
	var workers sync.WaitGroup
	workers.Go(p.read)
	workers.Go(func() { p.sendQueued(ctx) })
	p.tickUntil(ctx)
	p.leave()
	p.conn.Close()
	workers.Wait()
}

// waitForAddress opens the socket if Start could not, retrying until the address is
// free. Other system errors may be temporary too, so they are also retried and only
// the first one is logged. It reports false if ctx is done first.
func (p *Peers) waitForAddress(ctx context.Context) bool {
	for p.conn == nil {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(listenRetryInterval):
		}
		err := p.listen()
		if err != nil && !errors.Is(err, syscall.EADDRINUSE) && p.logLimit.once(listenLines) {
			p.log.Error("peer group not joined yet, retrying", "err", p.listenError(err))
		}
	}
	return true
}

// tickUntil ticks the engine and reloads the files until ctx is done.
func (p *Peers) tickUntil(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	filesCheckedAt := p.cfg.Clock()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			continue
		case <-timer.C:
		case <-p.wake:
		}
		now := p.cfg.Clock()
		if now-filesCheckedAt > fileCheckInterval {
			filesCheckedAt = now
			p.reloadFiles()
		}
		p.mu.Lock()
		packets := p.engine.Tick(now)
		next := p.engine.NextTick()
		p.mu.Unlock()
		p.send(packets)
		p.reportNewChanges()
		p.reportBounds(now)
		timer.Reset(min(max(next-p.cfg.Clock(), 0), maxTickInterval))
	}
}

// wakeRun makes run tick the engine immediately.
func (p *Peers) wakeRun() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *Peers) leave() {
	p.mu.Lock()
	packets := p.engine.Leave(p.cfg.Clock())
	p.mu.Unlock()
	p.send(packets)
	time.Sleep(leaveGrace) // lets the kernel send the written datagrams
}

// sendQueued sends the queued messages until ctx is done.
func (p *Peers) sendQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-p.sendQueue:
			p.mu.Lock()
			packets := p.engine.SendMessage(p.cfg.Clock(), message.to, message.data)
			p.mu.Unlock()
			p.send(packets)
		}
	}
}

// read handles incoming datagrams until the socket is closed.
func (p *Peers) read() {
	buffer := make([]byte, readBufferBytes)
	notifiedSynced := false
	errorsInRow := 0
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // usually a host's refusal of an earlier datagram
			p.handleRefusals()
			errorsInRow++
			p.pauseAfterError(errorsInRow, err)
			continue
		}
		errorsInRow = 0
		now := p.cfg.Clock()
		p.mu.Lock()
		packets, err := p.engine.Receive(now, buffer[:n])
		if err != nil {
			p.rejected.add(err, from)
		}
		messages := p.engine.TakeMessages()
		synced := p.engine.Synced()
		p.mu.Unlock()
		if synced && !notifiedSynced {
			notifiedSynced = true
			close(p.synced)
		}
		p.send(packets)
		changed := p.reportNewChanges()
		p.reportRejected(now)
		if len(messages) > 0 && p.cfg.OnMessages != nil {
			p.cfg.OnMessages(messages)
		}
		if changed {
			p.wakeRun()
		}
	}
}

// pauseAfterError sleeps for readErrorPause if more consecutive reads have failed
// than refusals explain: each refusal fails only one read.
func (p *Peers) pauseAfterError(errorsInRow int, err error) {
	p.readErrors.Add(1)
	if errorsInRow <= maxErrorsWithoutPause {
		return
	}
	if p.logLimit.once(readLines) {
		p.log.Error("peer datagrams can't be read, retrying", "err", err)
	}
	time.Sleep(readErrorPause)
}

// handleRefusals reads the refusals from the socket and passes them to the engine.
func (p *Peers) handleRefusals() {
	for _, to := range readRefusals(p.conn) {
		p.mu.Lock()
		var packets []Packet
		if addr := p.advertised[to]; addr != "" {
			packets = p.engine.HandleRefusal(p.cfg.Clock(), addr)
		}
		p.mu.Unlock()
		p.send(packets)
		if p.reportNewChanges() {
			p.wakeRun()
		}
	}
}

// send writes datagrams to the socket. A failed write is counted and otherwise
// treated like a datagram lost in the network.
func (p *Peers) send(packets []Packet) {
	for _, packet := range packets {
		to, valid := p.dialAddr(packet.Addr)
		if valid && p.write(packet.Data, to) == nil {
			continue
		}
		p.mu.Lock()
		p.failedWrites++
		p.mu.Unlock()
	}
}

func (p *Peers) write(data []byte, to netip.AddrPort) error {
	_, err := p.conn.WriteToUDPAddrPort(data, to)
	if errors.Is(err, syscall.ECONNREFUSED) { // the error is about an earlier datagram, and this one was not written
		_, err = p.conn.WriteToUDPAddrPort(data, to)
	}
	return err
}

// dialAddr returns the address to send to for an advertised address, and whether
// it is valid.
func (p *Peers) dialAddr(advertised string) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to, known := p.dialAddrs[advertised]
	if !known {
		if len(p.dialAddrs) > maxDialAddrs {
			clear(p.dialAddrs)
			clear(p.advertised)
		}
		text := advertised
		if dial := p.cfg.Dial[advertised]; dial != "" {
			text = dial
		}
		to, _ = netip.ParseAddrPort(text)
		p.dialAddrs[advertised] = to
		p.advertised[to] = advertised
	}
	return to, to.IsValid()
}
