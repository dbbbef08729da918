package ingress

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"hitchspring/internal/admin"
	"hitchspring/internal/handover"
	"hitchspring/internal/override"
)

// giveTime is what giving over may take; after it the next process starts without.
const giveTime = 300 * time.Millisecond

// keep takes a place in the folder that the processes of this ingress share, and follows what the others say there. Where that
// fails, the ingress serves without.
func (g *Instance) keep() (end func()) {
	if g.cfg.StateDir == "" {
		return func() {}
	}
	dir, err := handover.Open(g.cfg.StateDir, g.cfg.Listen, g.log)
	if err != nil {
		g.log.Warn("nothing is kept for the next process", "err", err)
		return func() {}
	}
	g.words.dir.Store(dir)
	g.core.MergeOverrides(dir.Overrides())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		dir.Watch(ctx, func(others int) {
			g.others.Store(int64(others))
			g.core.SetSiblings(others)
			g.room()
		}, g.core.MergeOverrides)
	}()
	return func() {
		cancel()
		<-done
		dir.Close()
	}
}

// room leaves half of the clients' places to another process while there is one.
func (g *Instance) room() {
	f := g.front.Load()
	switch {
	case f == nil:
	case g.others.Load() > 0:
		f.SetMaxConnections(max(leastConns, (f.MaxConnections()-spare-admin.MaxConnections)/2)) // what is not for clients each has for itself
	default:
		f.SetMaxConnections(f.MaxConnections())
	}
}

// listen opens the clients' socket. Where the platform holds it, this process is ready to serve from here on, and takes clients
// when the one before takes none any more; nil, nil where ctx ends first.
func (g *Instance) listen(ctx context.Context) (net.Listener, error) {
	if g.cfg.Listener == nil {
		ln, err := net.Listen("tcp", g.cfg.Listen)
		if err != nil {
			return nil, fmt.Errorf("listening: %w", err)
		}
		return ln, nil
	}
	g.prepared.Store(true)
	dir := g.words.dir.Load()
	if dir == nil {
		return g.cfg.Listener, nil
	}
	began := time.Now()
	if err := dir.Lock(ctx); err != nil {
		if ctx.Err() != nil {
			g.cfg.Listener.Close()
			return nil, nil
		}
		g.log.Warn("takes the clients beside any other process", "err", err)
		return g.cfg.Listener, nil
	}
	if s, ok := dir.ReadState(time.Duration(time.Now().UnixNano())); ok {
		g.core.AcceptHandover(s)
	}
	g.log.Info("takes the clients", "waited", time.Since(began).Round(time.Millisecond))
	return g.cfg.Listener, nil
}

// handOn leaves what is known to the next process, if there is one, and lets it take the clients.
func (g *Instance) handOn() {
	dir := g.words.dir.Load()
	if dir == nil {
		return
	}
	defer dir.Unlock()
	if dir.SiblingCount() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), giveTime)
	defer cancel()
	s, err := g.core.HandOver(ctx)
	if err == nil {
		err = dir.WriteState(s)
	}
	if err != nil {
		g.log.Warn("the next process starts without what is known here", "err", err)
	}
}

// words keeps operators' words in the folder, where there is one that can be used.
type words struct{ dir atomic.Pointer[handover.Dir] }

// Save is core.WordStore's.
func (w *words) Save(said []override.Override) error {
	if d := w.dir.Load(); d != nil {
		return d.Save(said)
	}
	return nil
}
