package link

import (
	"slices"
	"sync"
	"time"
)

// retransmissionDelay is how much later a lost chunk of a stream arrives.
const retransmissionDelay = 200 * time.Millisecond

// activeFault is a fault that has not ended.
type activeFault struct {
	Fault
	until  time.Duration
	record *FaultRecord
}

// direction is one direction of a link, with its faults.
type direction struct {
	name    string // FROM>TO
	network *Network

	mu             sync.Mutex // guards all below
	active         []*activeFault
	records        []*FaultRecord
	throttledUntil time.Time // when all bytes that a throttle has accepted have passed
}

// inject activates a fault.
func (d *direction) inject(fault Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.network.clock()
	record := &FaultRecord{Direction: d.name, Fault: fault, SetAt: now}
	d.records = append(d.records, record)
	d.active = append(d.active, &activeFault{fault, now + fault.For, record})
}

// treatment is what the active faults do to one datagram or chunk.
type treatment struct {
	lost       bool
	lostUntil  time.Duration // end of the cut that loses it
	duplicated bool
	swapped    bool
	corrupted  bool
	delay      time.Duration
}

// treat determines what the active faults do to a datagram or chunk that arrives now, and records that they acted.
func (d *direction) treat(size int, stream bool) (t treatment) {
	now := d.network.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active = slices.DeleteFunc(d.active, func(f *activeFault) bool { return now >= f.until && f.Kind != Reset })
	for _, fault := range d.active {
		selected := fault.Share == 0 || fault.Kind == Throttle || d.network.randomFraction() < fault.Share
		if selected && d.apply(fault, now, size, stream, &t) {
			fault.record.add(now)
		}
	}
	return t
}

// apply adds the effect of a fault to a treatment, and reports whether it has any. The caller holds d.mu.
func (d *direction) apply(fault *activeFault, now time.Duration, size int, stream bool, t *treatment) (acts bool) {
	switch fault.Kind {
	case Cut:
		t.lost, t.lostUntil = true, max(t.lostUntil, fault.until)
	case Flap:
		phase := (now - fault.record.SetAt) / fault.Time
		if phase%2 != 0 {
			return false
		}
		phaseEnd := fault.record.SetAt + (phase+1)*fault.Time
		t.lost, t.lostUntil = true, max(t.lostUntil, min(fault.until, phaseEnd))
	case Delay:
		t.delay += fault.Time
	case Jitter:
		t.delay += time.Duration(d.network.randomFraction() * float64(fault.Time))
	case Drop:
		if stream {
			t.delay += retransmissionDelay
		} else {
			t.lost = true
		}
	case Repeat:
		t.duplicated = true
		return !stream
	case Swap:
		t.swapped = true
		return !stream
	case Corrupt:
		t.corrupted = true
	case Throttle:
		t.delay += d.throttle(size, fault.Share)
		return stream
	case Reset:
		return false // done by TCPLink.resetLoop
	}
	return true
}

// throttle returns how long size bytes must wait for those accepted before them to pass. The caller holds d.mu.
func (d *direction) throttle(size int, bytesPerSecond float64) time.Duration {
	now := time.Now()
	if d.throttledUntil.Before(now) {
		d.throttledUntil = now
	}
	d.throttledUntil = d.throttledUntil.Add(time.Duration(float64(size) / bytesPerSecond * float64(time.Second)))
	return d.throttledUntil.Sub(now)
}

// isCut reports whether a Cut or a Flap is active.
func (d *direction) isCut() bool {
	now := d.network.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.active, func(fault *activeFault) bool {
		return (fault.Kind == Cut || fault.Kind == Flap) && now < fault.until
	})
}

// takeResets removes the resets that are due, and reports whether there were any.
func (d *direction) takeResets() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := len(d.active)
	d.active = slices.DeleteFunc(d.active, func(fault *activeFault) bool { return fault.Kind == Reset })
	return len(d.active) < before
}

// recordResets records that the resets that were due have been done.
func (d *direction) recordResets() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, record := range d.records {
		if record.Fault.Kind == Reset && record.Count == 0 {
			record.add(d.network.clock())
		}
	}
}
