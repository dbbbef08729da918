package core

import (
	"sync"
	"time"

	"hitchspring/internal/override"
	"hitchspring/policy"
)

// OverrideStore persists the operators' overrides for the next process of this instance. It must be safe for concurrent
// use, and may block on disk I/O.
type OverrideStore interface {
	// Save writes overrides to stable storage and retains those that another process has written there.
	Save([]override.Override) error
}

// operatorOverrides holds the operators' overrides, which take precedence over discovery's endpoint list.
type operatorOverrides struct {
	mu      sync.Mutex // guards active; not held during blocking calls
	active  *override.Overrides
	store   OverrideStore // nil: overrides end with the process
	changed chan struct{} // buffered, of capacity 1; signals the loop to apply the overrides again
}

// Suspend takes a backend out of service until Resume: it counts as draining, whatever state discovery reports. Suspend
// returns override.ErrUnknown for a backend that was never listed, or the error of the store. It doesn't wait for the
// loop.
func (c *Core) Suspend(id policy.BackendID) error { return c.setSuspended(id, true) }

// Resume puts a backend back into service, where it counts as just started. It returns the same errors as Suspend.
func (c *Core) Resume(id policy.BackendID) error { return c.setSuspended(id, false) }

func (c *Core) setSuspended(id policy.BackendID, suspended bool) error {
	o := &c.overrides
	o.mu.Lock()
	changed, err := o.active.Set(id, suspended, c.clock(time.Now()))
	all := o.active.All()
	o.mu.Unlock()
	if err != nil {
		return err
	}
	if changed {
		o.signalChange()
	}
	if o.store != nil { // even without a change, since an earlier call may have failed to save
		return o.store.Save(all)
	}
	return nil
}

// MergeOverrides applies overrides that another process of this instance has saved. It may be called at any time.
func (c *Core) MergeOverrides(overrides []override.Override) {
	o := &c.overrides
	o.mu.Lock()
	changed := o.active.Merge(overrides)
	o.mu.Unlock()
	if len(changed) > 0 {
		c.log.Info("overrides of another process applied", "backends", changed)
		o.signalChange()
	}
}

// isSuspended reports whether an operator has suspended a backend.
func (c *Core) isSuspended(id policy.BackendID) bool {
	c.overrides.mu.Lock()
	defer c.overrides.mu.Unlock()
	return c.overrides.active.IsSuspended(id)
}

// signalChange signals the loop to apply the overrides again. It doesn't block.
func (o *operatorOverrides) signalChange() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}
