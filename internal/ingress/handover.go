package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"hitchspring/internal/admin"
	"hitchspring/internal/handover"
	"hitchspring/internal/override"
)

// handoverTimeout limits writing the state for the next process, which starts
// without that state if the time is exceeded.
const handoverTimeout = 300 * time.Millisecond

// errStoppedBeforeServing means that Run's context ended before the instance
// accepted clients.
var errStoppedBeforeServing = errors.New("stopped before accepting clients")

// openStateDir opens the state directory and watches what sibling processes write
// there until end is called. If the directory cannot be opened, the instance serves
// without it.
func (i *Instance) openStateDir() (end func()) {
	if i.config.StateDir == "" {
		return func() {}
	}
	dir, err := handover.Open(i.config.StateDir, i.config.Listen, i.log)
	if err != nil {
		i.log.Warn("state directory unusable, serving without it", "dir", i.config.StateDir, "err", err)
		return func() {}
	}
	i.overrides.dir.Store(dir)
	ids, err := dir.OpenIDLog()
	if err != nil {
		i.log.Warn("request ids not shared with other processes", "err", err)
	} else {
		i.sharedIDs.log.Store(ids)
	}
	i.core.MergeOverrides(dir.Overrides())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		dir.Watch(ctx, i.setSiblingCount, i.core.MergeOverrides)
	}()
	return func() {
		cancel()
		<-done
		i.sharedIDs.close()
		dir.Close()
	}
}

func (i *Instance) setSiblingCount(count int) {
	i.siblingCount.Store(int64(count))
	i.core.SetSiblings(count)
	i.updateConnectionLimit()
}

// updateConnectionLimit halves the limit on client connections while there is a
// sibling process, which uses the other half. Each process also sets aside
// descriptors for its own other uses.
func (i *Instance) updateConnectionLimit() {
	front := i.front.Load()
	if front == nil {
		return
	}
	limit := front.MaxConnections()
	if i.siblingCount.Load() > 0 {
		limit = max(minClientConnections, (limit-reservedDescriptors-admin.MaxConnections)/2)
	}
	front.SetMaxConnections(limit)
}

// listen returns the listener for clients. If the listening socket is inherited,
// this process reports itself as ready at once, but waits for the handover lock
// until the previous process has stopped accepting clients. It returns
// errStoppedBeforeServing if ctx ends during that wait.
func (i *Instance) listen(ctx context.Context) (net.Listener, error) {
	if i.config.Listener == nil {
		listener, err := net.Listen("tcp", i.config.Listen)
		if err != nil {
			return nil, fmt.Errorf("listening: %w", err)
		}
		return listener, nil
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
			return nil, errStoppedBeforeServing
		}
		i.log.Warn("handover lock unavailable, accepting clients beside any other process", "err", err)
		return i.config.Listener, nil
	}
	if state, ok := dir.ReadState(time.Duration(time.Now().UnixNano())); ok {
		i.core.AcceptHandover(state)
	}
	i.log.Info("accepting clients", "waited", time.Since(began).Round(time.Millisecond))
	return i.config.Listener, nil
}

// handOver writes the core's state for the next process, if there is one, and
// releases the handover lock, so that the next process accepts clients.
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
	state, err := i.core.HandOver(ctx)
	if err == nil {
		err = dir.WriteState(state)
	}
	if err != nil {
		i.log.Warn("handover state not written, next process starts without it", "err", err)
	}
}

// sharedIDs exchanges request ids with the other processes of this instance through
// the state directory. It does nothing while log is nil.
type sharedIDs struct {
	log atomic.Pointer[handover.IDLog]
}

// Append implements core.SharedIDs.
func (s *sharedIDs) Append(ids ...uint64) error {
	if log := s.log.Load(); log != nil {
		return log.Append(ids...)
	}
	return nil
}

// ReadOthers implements core.SharedIDs.
func (s *sharedIDs) ReadOthers(add func(id uint64)) error {
	if log := s.log.Load(); log != nil {
		return log.ReadOthers(add)
	}
	return nil
}

// close closes the file of this process. The core must have stopped.
func (s *sharedIDs) close() {
	if log := s.log.Swap(nil); log != nil {
		log.Close()
	}
}

// overrideStore stores operators' overrides in the state directory. It drops them
// while dir is nil: there is no state directory, or it is not usable.
type overrideStore struct{ dir atomic.Pointer[handover.Dir] }

// Save implements the override store of core.Config.
func (s *overrideStore) Save(overrides []override.Override) error {
	if dir := s.dir.Load(); dir != nil {
		return dir.Save(overrides)
	}
	return nil
}
