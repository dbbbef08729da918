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
const retransmitted = 200 * time.Millisecond

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
type Acted struct {
	Way   string        `json:"Way"`
	Fault Fault         `json:"Fault"`
	Set   time.Duration `json:"Set"` // when it was put in force
	First time.Duration `json:"First"`
	Last  time.Duration `json:"Last"` // when it acted; 0: never
	Times int           `json:"Times"`
}

// rule is a fault in force.
type rule struct {
	Fault
	until time.Duration
	acted *Acted
}

// way is one direction of a link.
type way struct {
	name  string
	net   *Net
	mu    sync.Mutex // of all below
	rules []*rule
	all   []*Acted
	count int // datagrams or chunks that came in
	next  time.Time
}

// Net is the links of a run, with one clock and one chance.
type Net struct {
	clock     func() time.Duration
	mu        sync.Mutex // of all below
	rng       *rand.Rand
	ways      []*way
	ends      []func()
	datagrams []*datagrams
	wg        sync.WaitGroup
	shut      chan struct{}
}

// New returns a network without links.
func New(seed uint64, clock func() time.Duration) *Net {
	return &Net{clock: clock, rng: rand.New(rand.NewPCG(seed, 61)), shut: make(chan struct{})}
}

func (n *Net) chance() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

func (n *Net) newWay(from, to string) *way {
	w := &way{name: from + ">" + to, net: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ways = append(n.ways, w)
	return w
}

func (n *Net) onClose(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends = append(n.ends, f)
}

// Close ends all links.
func (n *Net) Close() {
	close(n.shut)
	n.mu.Lock()
	ends := n.ends
	n.mu.Unlock()
	for _, f := range ends {
		f()
	}
	n.wg.Wait()
}

// Fault puts a fault in force on all ways from one of the names to one of the others. That there is no such way, or that the
// fault is nothing for one of them, is an error.
func (n *Net) Fault(from, to []string, f Fault) error {
	n.mu.Lock()
	ways := slices.Clone(n.ways)
	n.mu.Unlock()
	found := false
	for _, w := range ways {
		a, b, _ := strings.Cut(w.name, ">")
		if !slices.Contains(from, a) || !slices.Contains(to, b) {
			continue
		}
		found = true
		w.put(f)
	}
	if !found {
		return fmt.Errorf("there is no link from %s to %s", strings.Join(from, ","), strings.Join(to, ","))
	}
	return nil
}

// Acted is what each fault on each way has done so far.
func (n *Net) Acted() (out []Acted) {
	n.mu.Lock()
	ways := slices.Clone(n.ways)
	n.mu.Unlock()
	for _, w := range ways {
		w.mu.Lock()
		for _, a := range w.all {
			out = append(out, *a)
		}
		w.mu.Unlock()
	}
	return out
}

func (w *way) put(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.net.clock()
	a := &Acted{Way: w.name, Fault: f, Set: now}
	w.all = append(w.all, a)
	w.rules = append(w.rules, &rule{f, now + f.For, a})
}

// fate is what becomes of one datagram or chunk.
type fate struct {
	lost, twice, swap bool
	later             time.Duration
	flip              bool
	until             time.Duration // it is held until then
}

// meet decides what becomes of what comes now, and counts what acted.
func (w *way) meet(size int, stream bool) (f fate) {
	now := w.net.clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count++
	w.rules = slices.DeleteFunc(w.rules, func(r *rule) bool { return now >= r.until && r.Kind != Reset })
	for _, r := range w.rules {
		hit := r.Share == 0 || r.Kind == Throttle || w.net.chance() < r.Share
		if !hit {
			continue
		}
		acts := true
		switch r.Kind {
		case Cut:
			f.lost, f.until = true, max(f.until, r.until)
		case Flap:
			k := (now - r.acted.Set) / r.Time
			if acts = k%2 == 0; acts {
				f.lost, f.until = true, max(f.until, min(r.until, r.acted.Set+(k+1)*r.Time))
			}
		case Delay:
			f.later += r.Time
		case Jitter:
			f.later += time.Duration(w.net.chance() * float64(r.Time))
		case Drop:
			if stream {
				f.later += retransmitted
			} else {
				f.lost = true
			}
		case Repeat:
			f.twice, acts = true, !stream
		case Swap:
			f.swap, acts = true, !stream
		case Corrupt:
			f.flip = true
		case Throttle:
			t := time.Now()
			if w.next.Before(t) {
				w.next = t
			}
			w.next = w.next.Add(time.Duration(float64(size) / r.Share * float64(time.Second)))
			f.later += w.next.Sub(t)
			acts = stream
		case Reset:
			acts = false
		}
		if acts {
			r.acted.hit(now)
		}
	}
	return f
}

func (a *Acted) hit(now time.Duration) {
	if a.Times++; a.First == 0 {
		a.First = now
	}
	a.Last = now
}

// cut says whether nothing passes at the moment.
func (w *way) cut() bool {
	now := w.net.clock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.rules, func(r *rule) bool { return (r.Kind == Cut || r.Kind == Flap) && now < r.until })
}

// resets takes the resets that are to be done now.
func (w *way) resets() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.rules)
	w.rules = slices.DeleteFunc(w.rules, func(r *rule) bool { return r.Kind == Reset })
	return len(w.rules) < n
}

// flip changes one byte.
func (n *Net) flip(b []byte) {
	if len(b) > 0 {
		i := int(n.chance() * float64(len(b)))
		b[i] ^= byte(1 + int(n.chance()*255))
	}
}
