package core

import (
	"sync"
	"time"

	"hitchspring/internal/override"
	"hitchspring/policy"
)

// OverrideStore keeps the operators' overrides where the next process of this instance finds them. Its method may be
// called by many goroutines, and may take the time of a disk.
type OverrideStore interface {
	// Save puts overrides into stable storage, beside those that another process has put there.
	Save([]override.Override) error
}

// operatorOverrides is what operators have set on backends, whatever discovery's list says of them.
type operatorOverrides struct {
	mu      sync.Mutex // guards active; never held while waiting
	active  *override.Overrides
	store   OverrideStore // nil: overrides end with the process
	changed chan struct{} // has room for one: the loop must apply the overrides again
}

// Suspend takes a backend out of service until Resume: from now on the list has it as draining, whatever discovery
// says. It returns override.ErrUnknown for a backend that was never listed, or the error of the store. It never waits
// for the loop.
func (c *Core) Suspend(id policy.BackendID) error { return c.setSuspended(id, true) }

// Resume puts a backend back into service, as one that has just started. It returns errors as Suspend does.
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
	if o.store != nil { // also if nothing has changed: an earlier call may have failed here
		return o.store.Save(all)
	}
	return nil
}

// MergeOverrides takes in overrides that another process of this instance has recorded. It may be called at any time.
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

// isSuspended reports whether operators have taken a backend out of service.
func (c *Core) isSuspended(id policy.BackendID) bool {
	c.overrides.mu.Lock()
	defer c.overrides.mu.Unlock()
	return c.overrides.active.IsSuspended(id)
}

// signalChange has the loop apply the overrides again.
func (o *operatorOverrides) signalChange() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}
