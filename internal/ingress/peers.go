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

// peerLink is the core's link to the other instances. Before Run has joined them,
// its queries return nothing, and what is published or sent is dropped.
type peerLink struct {
	name   string // of this instance among its peers
	joined atomic.Pointer[peers.Peers]
	// membersMu is held from reading the list of members until the core has it,
	// so that the core never gets an older list after a newer one.
	membersMu sync.Mutex
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

// ClockReading returns the clock reading in the last message from another instance,
// or 0 if there is none.
func (l *peerLink) ClockReading(name string) time.Duration {
	if p := l.joined.Load(); p != nil {
		return p.ClockReading(name)
	}
	return 0
}

// joinPeers joins the other instances, if the configuration has peers. Calling
// leave ends the membership.
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
		i.peersChanged(nil) // passes on members that were found before joined was set
	}
	return p.Close, nil
}

// peerSyncTimeout is how long a starting instance waits for the state of its peers.
// Without an answer it starts to serve all the same.
const peerSyncTimeout = 30 * time.Millisecond

// awaitPeerSync waits for the peers' observations of backends and passes them to
// the core before the first client connects. Otherwise the first requests would go
// to backends that all other instances avoid.
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
	case <-time.After(peerSyncTimeout):
	case <-ctx.Done():
	}
	i.core.AssessBackends()
}

// peersChanged passes the current members to the core, and which incarnations have
// started, ended or left.
func (i *Instance) peersChanged(changes []swim.Change) {
	p := i.peers.joined.Load()
	if p == nil {
		return
	}
	i.peers.membersMu.Lock()
	defer i.peers.membersMu.Unlock()
	var members []takeover.Member
	for _, m := range p.Members() {
		members = append(members, takeover.Member{Name: m.Name, Zone: m.Zone})
	}
	i.core.UpdateMembers(members, memberChanges(changes))
}

// memberChanges converts membership changes to those of the core, in the same
// order.
func memberChanges(changes []swim.Change) []core.MemberChange {
	var out []core.MemberChange
	for _, c := range changes {
		incarnation := core.Incarnation{Name: c.Name, Number: c.Incarnation}
		if c.State > swim.Suspect {
			confirmed := c.State == swim.Left || c.Confirmed
			out = append(out, core.MemberChange{Incarnation: incarnation, Ended: true, Surely: confirmed})
			continue
		}
		if c.New && c.Incarnation > 0 { // so the previous incarnation has ended, even if its end was not observed
			earlier := core.Incarnation{Name: c.Name, Number: c.Incarnation - 1}
			out = append(out, core.MemberChange{Incarnation: earlier, Ended: true})
		}
		out = append(out, core.MemberChange{Incarnation: incarnation})
	}
	return out
}

// errNoFront is returned for a request to be taken over before the instance accepts
// clients, since the front that parses commands is missing.
var errNoFront = errors.New("this instance does not accept clients yet")

// rebuildRequest parses a command that another instance received, to take over its
// request.
func (i *Instance) rebuildRequest(args [][]byte) (*core.Request, error) {
	front := i.front.Load()
	if front == nil {
		return nil, errNoFront
	}
	return front.Rebuild(args)
}

// PeersStatus returns the status of the peers, or false if this instance has not
// joined any.
func (i *Instance) PeersStatus() (peers.Status, bool) {
	if i.peers == nil {
		return peers.Status{}, false
	}
	if p := i.peers.joined.Load(); p != nil {
		return p.Status(), true
	}
	return peers.Status{}, false
}
