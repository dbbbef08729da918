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
const handoverTimeout = 300 * time.Millisecond

// keep takes a place in the folder that the processes of this ingress share, and follows what the others say there. Where that
// fails, the ingress serves without.
func (i *Instance) openStateDir() (end func()) {
	if i.config.StateDir == "" {
		return func() {}
	}
	dir, err := handover.Open(i.config.StateDir, i.config.Listen, i.log)
	if err != nil {
		i.log.Warn("nothing is kept for the next process", "err", err)
		return func() {}
	}
	i.overrides.dir.Store(dir)
	i.core.MergeOverrides(dir.Overrides())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		dir.Watch(ctx, func(others int) {
			i.siblingCount.Store(int64(others))
			i.core.SetSiblings(others)
			i.shareConnections()
		}, i.core.MergeOverrides)
	}()
	return func() {
		cancel()
		<-done
		dir.Close()
	}
}

// room leaves half of the clients' places to another process while there is one.
func (i *Instance) shareConnections() {
	f := i.front.Load()
	switch {
	case f == nil:
	case i.siblingCount.Load() > 0:
		f.SetMaxConnections(max(minClientConnections, (f.MaxConnections()-reservedDescriptors-admin.MaxConnections)/2)) // what is not for clients each has for itself
	default:
		f.SetMaxConnections(f.MaxConnections())
	}
}

// listen opens the clients' socket. Where the platform holds it, this process is ready to serve from here on, and takes clients
// when the one before takes none any more; nil, nil where ctx ends first.
func (i *Instance) listen(ctx context.Context) (net.Listener, error) {
	if i.config.Listener == nil {
		ln, err := net.Listen("tcp", i.config.Listen)
		if err != nil {
			return nil, fmt.Errorf("listening: %w", err)
		}
		return ln, nil
	}
	i.prepared.Store(true)
	dir := i.overrides.dir.Load()
	if dir == nil {
		return i.config.Listener, nil
	}
	began := time.Now()
	if err := dir.Lock(ctx); err != nil {
		if ctx.Err() != nil {
			i.config.Listener.Close()
			return nil, nil
		}
		i.log.Warn("takes the clients beside any other process", "err", err)
		return i.config.Listener, nil
	}
	if s, ok := dir.ReadState(time.Duration(time.Now().UnixNano())); ok {
		i.core.AcceptHandover(s)
	}
	i.log.Info("takes the clients", "waited", time.Since(began).Round(time.Millisecond))
	return i.config.Listener, nil
}

// handOn leaves what is known to the next process, if there is one, and lets it take the clients.
func (i *Instance) handOver() {
	dir := i.overrides.dir.Load()
	if dir == nil {
		return
	}
	defer dir.Unlock()
	if dir.SiblingCount() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	s, err := i.core.HandOver(ctx)
	if err == nil {
		err = dir.WriteState(s)
	}
	if err != nil {
		i.log.Warn("the next process starts without what is known here", "err", err)
	}
}

// words keeps operators' words in the folder, where there is one that can be used.
type overrideStore struct{ dir atomic.Pointer[handover.Dir] }

// Save is core.WordStore's.
func (w *overrideStore) Save(said []override.Override) error {
	if d := w.dir.Load(); d != nil {
		return d.Save(said)
	}
	return nil
}
