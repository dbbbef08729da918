// Package link is the network of a run with many processes. Each direction between two processes, and from each of
// them to its counter, discovery and backends, goes through a link into which faults can be injected during the run.
// Its input is addresses, and faults with the names of the ends of links. Its output is the forwarded data, and a
// record of when and how often each fault acted. It does not interpret the data.
//
// A TCP link queues data during a cut and delivers it when the cut ends, as retransmissions do. If that takes longer
// than maxCutDelay, the connection is reset instead. A datagram that arrives during a cut is lost. One thing differs
// from a real network: a connection that is opened while its direction is cut is accepted by the link, but not
// connected to its target.
package link

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// randomStream is the random stream of the faults. It makes them independent of everything else that is drawn from the
// seed.
const randomStream = 61

// Network holds the links of a run, with one clock and one source of random numbers. Each link has goroutines,
// which Close ends and waits for. Its methods are safe for concurrent use.
type Network struct {
	clock  func() time.Duration
	closed chan struct{} // closed by Close
	wg     sync.WaitGroup

	mu         sync.Mutex // guards all below
	rng        *rand.Rand
	directions []*direction
	closers    []func() // called by Close
	udpLinks   []*udpLink
}

// New returns a network without links. clock returns the time since the run began.
func New(seed uint64, clock func() time.Duration) *Network {
	return &Network{
		clock:  clock,
		rng:    rand.New(rand.NewPCG(seed, randomStream)),
		closed: make(chan struct{}),
	}
}

// randomFraction returns a random number in [0, 1).
func (n *Network) randomFraction() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

// addDirection adds the direction from one name to another.
func (n *Network) addDirection(from, to string) *direction {
	d := &direction{name: from + ">" + to, network: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directions = append(n.directions, d)
	return d
}

// onClose registers a function that Close calls.
func (n *Network) onClose(closer func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, closer)
}

// Close ends all links and waits for their goroutines. It must be called only once.
func (n *Network) Close() {
	close(n.closed)
	n.mu.Lock()
	closers := n.closers
	n.mu.Unlock()
	for _, closer := range closers {
		closer()
	}
	n.wg.Wait()
}

// allDirections returns a copy of the list of directions.
func (n *Network) allDirections() []*direction {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.directions)
}

// Inject activates a fault on all directions from one of the names in from to one of those in to. It returns an error
// if there is none.
func (n *Network) Inject(from, to []string, fault Fault) error {
	found := false
	for _, d := range n.allDirections() {
		source, destination, _ := strings.Cut(d.name, ">")
		if slices.Contains(from, source) && slices.Contains(to, destination) {
			found = true
			d.inject(fault)
		}
	}
	if !found {
		return fmt.Errorf("there is no link from %s to %s", strings.Join(from, ","), strings.Join(to, ","))
	}
	return nil
}

// FaultRecords returns what each fault on each direction has done so far.
func (n *Network) FaultRecords() (records []FaultRecord) {
	for _, d := range n.allDirections() {
		d.mu.Lock()
		for _, record := range d.records {
			records = append(records, *record)
		}
		d.mu.Unlock()
	}
	return records
}

// corrupt changes one random byte.
func (n *Network) corrupt(data []byte) {
	if len(data) > 0 {
		i := int(n.randomFraction() * float64(len(data)))
		data[i] ^= byte(1 + int(n.randomFraction()*255))
	}
}

// sleep waits, and returns false if the network is closed meanwhile.
func (n *Network) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-n.closed:
		return false
	case <-timer.C:
		return true
	}
}
