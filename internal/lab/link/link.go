// Package link is the network of a run with many processes: each directed way between two of them, and from each to its counter,
// discovery and nodes, goes through a link that can be faulted while it runs. In: addresses, faults with their ends. Out: what
// went through, and for each fault when it first and last acted and how often. It must never know what the bytes mean.
//
// A TCP link holds what is cut and lets it go when the cut ends, as a network that retransmits does; what was held for nearly a
// second is not delivered, and its connection is reset. A datagram that is cut is lost. What can't be had on loopback: a connection that is begun while its way is cut comes up at the link, and no
// further.
package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is what a fault does.
type Kind string

// The kinds. A share is of datagrams, or of chunks of a stream.
const (
	Cut      Kind = "cut"      // nothing passes
	Flap     Kind = "flap"     // cut for a time, open for as long, in turn
	Delay    Kind = "delay"    // all comes later by a time
	Jitter   Kind = "jitter"   // each comes later by a chance part of a time; datagrams change places
	Drop     Kind = "drop"     // a share is lost; of a stream, it comes later by retransmission
	Repeat   Kind = "repeat"   // a share of datagrams comes twice
	Swap     Kind = "swap"     // a share of datagrams comes after the next one
	Corrupt  Kind = "corrupt"  // one byte of a share is another
	Throttle Kind = "throttle" // so many bytes a second, of a stream
	Reset    Kind = "reset"    // all connections are reset, once
)

// Fault is one fault of a way.
type Fault struct {
	Kind  Kind          `json:"Kind"`
	Time  time.Duration `json:"Time"`  // of Flap, Delay and Jitter
	Share float64       `json:"Share"` // of Drop, Repeat, Swap and Corrupt; of Throttle bytes a second
	For   time.Duration `json:"For"`   // 0: of Reset
}

// retransmitted is how much later a lost part of a stream comes.
const retransmissionDelay = 200 * time.Millisecond

// Parse reads a fault: cut D | flap ON D | delay T D | jitter T D | drop S D | repeat S D | swap S D | corrupt S D | throttle BYTES D |
// reset.
func Parse(text string) (Fault, error) {
	w := strings.Fields(text)
	if len(w) == 0 {
		return Fault{}, errors.New("nothing to do")
	}
	f := Fault{Kind: Kind(w[0])}
	want := map[Kind]int{Cut: 1, Flap: 2, Delay: 2, Jitter: 2, Drop: 2, Repeat: 2, Swap: 2, Corrupt: 2, Throttle: 2, Reset: 0}
	n, known := want[f.Kind]
	if !known {
		return f, fmt.Errorf("%q is nothing that can be done to a link", w[0])
	}
	if len(w)-1 != n {
		return f, fmt.Errorf("%s wants %d words behind it, there are %d", w[0], n, len(w)-1)
	}
	if n == 0 {
		return f, nil
	}
	var err error
	if f.For, err = time.ParseDuration(w[n]); err != nil || f.For <= 0 {
		return f, fmt.Errorf("%s: %q is no duration above 0", w[0], w[n])
	}
	if n == 1 {
		return f, nil
	}
	switch f.Kind {
	case Flap, Delay, Jitter:
		if f.Time, err = time.ParseDuration(w[1]); err != nil || f.Time <= 0 {
			return f, fmt.Errorf("%s: %q is no duration above 0", w[0], w[1])
		}
	default:
		f.Share, err = strconv.ParseFloat(w[1], 64)
		if err != nil || !(f.Share > 0) || f.Kind != Throttle && f.Share > 1 {
			return f, fmt.Errorf("%s: %q is out of range", w[0], w[1])
		}
	}
	return f, nil
}

// Acted says what one fault did on one way.
type FaultRecord struct {
	Direction   string        `json:"Way"`
	Fault Fault         `json:"Fault"`
	SetAt   time.Duration `json:"Set"` // when it was put in force
	FirstActedAt time.Duration `json:"First"`
	LastActedAt  time.Duration `json:"Last"` // when it acted; 0: never
	Count int           `json:"Times"`
}

// rule is a fault in force.
type activeFault struct {
	Fault
	until time.Duration
	record *FaultRecord
}

// way is one direction of a link.
type direction struct {
	name  string
	network   *Network
	mu    sync.Mutex // of all below
	active []*activeFault
	records   []*FaultRecord
	count int // datagrams or chunks that came in
	throttledUntil  time.Time
}

// Net is the links of a run, with one clock and one chance.
type Network struct {
	clock     func() time.Duration
	mu        sync.Mutex // of all below
	rng       *rand.Rand
	directions      []*direction
	closers      []func()
	udpLinks []*udpLink
	wg        sync.WaitGroup
	closed      chan struct{}
}

// New returns a network without links.
func New(seed uint64, clock func() time.Duration) *Network {
	return &Network{clock: clock, rng: rand.New(rand.NewPCG(seed, 61)), closed: make(chan struct{})}
}

func (n *Network) randomFraction() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

func (n *Network) addDirection(from, to string) *direction {
	w := &direction{name: from + ">" + to, network: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directions = append(n.directions, w)
	return w
}

func (n *Network) onClose(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, f)
}

// Close ends all links.
func (n *Network) Close() {
	close(n.closed)
	n.mu.Lock()
	ends := n.closers
	n.mu.Unlock()
	for _, f := range ends {
		f()
	}
	n.wg.Wait()
}

// Fault puts a fault in force on all ways from one of the names to one of the others. That there is no such way, or that the
// fault is nothing for one of them, is an error.
func (n *Network) Inject(from, to []string, f Fault) error {
	n.mu.Lock()
	ways := slices.Clone(n.directions)
	n.mu.Unlock()
	found := false
	for _, w := range ways {
		a, b, _ := strings.Cut(w.name, ">")
		if !slices.Contains(from, a) || !slices.Contains(to, b) {
			continue
		}
		found = true
		w.inject(f)
	}
	if !found {
		return fmt.Errorf("there is no link from %s to %s", strings.Join(from, ","), strings.Join(to, ","))
	}
	return nil
}

// Acted is what each fault on each way has done so far.
func (n *Network) FaultRecords() (out []FaultRecord) {
	n.mu.Lock()
	ways := slices.Clone(n.directions)
	n.mu.Unlock()
	for _, w := range ways {
		w.mu.Lock()
		for _, a := range w.records {
			out = append(out, *a)
		}
		w.mu.Unlock()
	}
	return out
}

func (w *direction) inject(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.network.clock()
	a := &FaultRecord{Direction: w.name, Fault: f, SetAt: now}
	w.records = append(w.records, a)
	w.active = append(w.active, &activeFault{f, now + f.For, a})
}

// fate is what becomes of one datagram or chunk.
type treatment struct {
	lost, duplicated, swapped bool
	delay             time.Duration
	corrupted              bool
	lostUntil             time.Duration // it is held until then
}

// meet decides what becomes of what comes now, and counts what acted.
func (w *direction) treat(size int, stream bool) (f treatment) {
	now := w.network.clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	w.active = slices.DeleteFunc(w.active, func(r *activeFault) bool { return now >= r.until && r.Kind != Reset })
	for _, r := range w.active {
		hit := r.Share == 0 || r.Kind == Throttle || w.network.randomFraction() < r.Share
		if !hit {
			continue
		}
		acts := true
		switch r.Kind {
		case Cut:
			f.lost, f.lostUntil = true, max(f.lostUntil, r.until)
		case Flap:
			k := (now - r.record.SetAt) / r.Time
			if acts = k%2 == 0; acts {
				f.lost, f.lostUntil = true, max(f.lostUntil, min(r.until, r.record.SetAt+(k+1)*r.Time))
			}
		case Delay:
			f.delay += r.Time
		case Jitter:
			f.delay += time.Duration(w.network.randomFraction() * float64(r.Time))
		case Drop:
			if stream {
				f.delay += retransmissionDelay
			} else {
				f.lost = true
			}
		case Repeat:
			f.duplicated, acts = true, !stream
		case Swap:
			f.swapped, acts = true, !stream
		case Corrupt:
			f.corrupted = true
		case Throttle:
			t := time.Now()
			if w.throttledUntil.Before(t) {
				w.throttledUntil = t
			}
			w.throttledUntil = w.throttledUntil.Add(time.Duration(float64(size) / r.Share * float64(time.Second)))
			f.delay += w.throttledUntil.Sub(t)
			acts = stream
		case Reset:
			acts = false
		}
		if acts {
			r.record.add(now)
		}
	}
	return f
}

func (a *FaultRecord) add(now time.Duration) {
	if a.Count++; a.FirstActedAt == 0 {
		a.FirstActedAt = now
	}
	a.LastActedAt = now
}

// cut says whether nothing passes at the moment.
func (w *direction) isCut() bool {
	now := w.network.clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.active, func(r *activeFault) bool { return (r.Kind == Cut || r.Kind == Flap) && now < r.until })
}

// resets takes the resets that are to be done now.
func (w *direction) takeResets() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.active)
	w.active = slices.DeleteFunc(w.active, func(r *activeFault) bool { return r.Kind == Reset })
	return len(w.active) < n
}

// flip changes one byte.
func (n *Network) corrupt(b []byte) {
	if len(b) > 0 {
		i := int(n.randomFraction() * float64(len(b)))
		b[i] ^= byte(1 + int(n.randomFraction()*255))
	}
}
