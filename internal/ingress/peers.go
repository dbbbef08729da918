package ingress

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/gossip"
	"hitchspring/internal/peers"
	"hitchspring/internal/swim"
	"hitchspring/internal/takeover"
)

// peerLink is the connection to the other instances. Until Run has joined them it
// knows of none, and what is published is dropped.
type peerLink struct {
	name   string // of this instance among its peers
	joined atomic.Pointer[peers.Peers]
	// changeMu is held while the members are read and passed to the core, so
	// that an earlier view never follows a later one.
	changeMu sync.Mutex
}

// Publish implements core.Peers.
func (l *peerLink) Publish(kind, subject string, born time.Duration, data []byte) {
	if p := l.joined.Load(); p != nil {
		p.Publish(kind, subject, born, data)
	}
}

// Facts implements core.Peers.
func (l *peerLink) Facts(kind string) ([]gossip.Fact, map[string]string) {
	if p := l.joined.Load(); p != nil {
		return p.Facts(kind)
	}
	return nil, nil
}

// Version implements core.Peers.
func (l *peerLink) Version() uint64 {
	if p := l.joined.Load(); p != nil {
		return p.Version()
	}
	return 0
}

// Name implements core.Peers.
func (l *peerLink) Name() string { return l.name }

// Send sends a message of the core to another instance.
func (l *peerLink) Send(to string, data []byte) {
	if p := l.joined.Load(); p != nil {
		p.Send(to, data)
	}
}

// ClockReading returns the clock of another instance, as its last message had it.
func (l *peerLink) ClockReading(name string) time.Duration {
	if p := l.joined.Load(); p != nil {
		return p.ClockReading(name)
	}
	return 0
}

// joinPeers joins the other instances, if the configuration has any, until leave is
// called.
func (i *Instance) joinPeers() (leave func(), err error) {
	if i.config.Peers == nil {
		return func() {}, nil
	}
	cfg := *i.config.Peers
	cfg.Clock = i.core.Now
	cfg.Incarnation = uint64(time.Now().UnixNano())
	cfg.Zone = i.config.Settings.Zone
	cfg.Seed = i.config.Seed
	cfg.WaitForAddress = i.config.Listener != nil
	exchangesMessages := i.config.Takeover != nil || i.config.Escrow != nil
	if exchangesMessages {
		cfg.OnMessages = func(messages []peers.Message) {
			for _, m := range messages {
				i.core.ReceiveMessage(m.From, m.Incarnation, m.Data)
			}
		}
		cfg.OnChange = i.peersChanged
	}
	p, err := peers.Start(cfg, i.log)
	if err != nil {
		return nil, err
	}
	i.peers.joined.Store(p)
	if exchangesMessages {
		i.peersChanged(nil) // the members that were found before joined was set
	}
	return p.Close, nil
}

// peerSyncWait is how long a starting instance waits for what another one knows.
// Without an answer it serves all the same.
const peerSyncWait = 30 * time.Millisecond

// awaitPeerSync has the core know what the other instances know before the first
// client comes. Otherwise its first requests would go to backends that all others
// avoid.
func (i *Instance) awaitPeerSync(ctx context.Context) {
	if i.peers == nil {
		return
	}
	p := i.peers.joined.Load()
	if p == nil {
		return
	}
	select {
	case <-p.Synced():
	case <-time.After(peerSyncWait):
	case <-ctx.Done():
	}
	i.core.AssessBackends()
}

// peersChanged passes the members to the core, and the incarnations that have
// ended, started or left.
func (i *Instance) peersChanged(changes []swim.Change) {
	p := i.peers.joined.Load()
	if p == nil {
		return
	}
	i.peers.changeMu.Lock()
	defer i.peers.changeMu.Unlock()
	var members []takeover.Member
	for _, m := range p.Members() {
		members = append(members, takeover.Member{Name: m.Name, Zone: m.Zone})
	}
	i.core.UpdateMembers(members, memberChanges(changes))
}

// memberChanges returns what changes of the membership mean for the core, in
// their order.
func memberChanges(changes []swim.Change) []core.MemberChange {
	var out []core.MemberChange
	for _, c := range changes {
		incarnation := core.Incarnation{Name: c.Name, Number: c.Incarnation}
		if c.State > swim.Suspect {
			surely := c.State == swim.Left || c.Confirmed
			out = append(out, core.MemberChange{Incarnation: incarnation, Ended: true, Surely: surely})
			continue
		}
		if c.New && c.Incarnation > 0 { // an earlier incarnation has ended, whether or not that was seen
			earlier := core.Incarnation{Name: c.Name, Number: c.Incarnation - 1}
			out = append(out, core.MemberChange{Incarnation: earlier, Ended: true})
		}
		out = append(out, core.MemberChange{Incarnation: incarnation})
	}
	return out
}

// errNoFront says that requests cannot be rebuilt before clients are accepted.
var errNoFront = errors.New("this instance serves nobody yet")

// rebuildRequest makes a request of a command that another instance has received.
func (i *Instance) rebuildRequest(args [][]byte) (*core.Request, error) {
	front := i.front.Load()
	if front == nil {
		return nil, errNoFront
	}
	return front.Rebuild(args)
}

// PeersStatus is what this instance knows of its peers. It reports false if there
// are none.
func (i *Instance) PeersStatus() (peers.Status, bool) {
	if i.peers == nil {
		return peers.Status{}, false
	}
	if p := i.peers.joined.Load(); p != nil {
		return p.Status(), true
	}
	return peers.Status{}, false
}
