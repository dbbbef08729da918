package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hitchspring/internal/core"
	"hitchspring/internal/gossip"
	"hitchspring/internal/peers"
	"hitchspring/internal/swim"
	"hitchspring/internal/takeover"
)

// company is the other instances, once this one takes part: until then it has heard nothing.
type peerLink struct {
	name string
	joined    atomic.Pointer[peers.Peers]
}

// Tell, Facts, Version and Name are core.Peers's.
func (c *peerLink) Publish(kind, subject string, born time.Duration, data []byte) {
	if p := c.joined.Load(); p != nil {
		p.Publish(kind, subject, born, data)
	}
}

func (c *peerLink) Facts(kind string) ([]gossip.Fact, map[string]string) {
	if p := c.joined.Load(); p != nil {
		return p.Facts(kind)
	}
	return nil, nil
}

func (c *peerLink) Version() uint64 {
	if p := c.joined.Load(); p != nil {
		return p.Version()
	}
	return 0
}

func (c *peerLink) Name() string { return c.name }

// takePart begins to take part among the peers, where the options name any.
func (i *Instance) joinPeers() (leave func(), err error) {
	if i.config.Peers == nil {
		return func() {}, nil
	}
	cfg := *i.config.Peers
	cfg.Clock = i.core.Now
	cfg.Incarnation = uint64(time.Now().UnixNano())
	cfg.Zone, cfg.Seed = i.config.Settings.Zone, i.config.Seed
	cfg.WaitForAddress = i.config.Listener != nil
	if i.config.Takeover != nil || i.config.Config.Escrow != nil {
		cfg.OnMessages = func(list []peers.Message) {
			for _, p := range list {
				i.core.ReceiveMessage(p.From, p.Incarnation, p.Data)
			}
		}
		cfg.OnChange = i.peersChanged
	}
	p, err := peers.Start(cfg, i.log)
	if err != nil {
		return nil, err
	}
	i.peers.joined.Store(p)
	if i.config.Takeover != nil || i.config.Config.Escrow != nil {
		i.peersChanged(nil) // who was found before that
	}
	return p.Close, nil
}

// firstWord is how long a starter whose list has come waits for what another instance knows; without an answer it serves all the same.
const peerSyncWait = 30 * time.Millisecond

// learnFirst has the core know what the others do before the first client comes: else the starter's first requests go to nodes that all others
// have left.
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

// changed tells the core who is there, and whose life has ended or begun.
func (i *Instance) peersChanged(changes []swim.Change) {
	p := i.peers.joined.Load()
	if p == nil {
		return
	}
	var members []takeover.Member
	for _, m := range p.Members() {
		members = append(members, takeover.Member{Name: m.Name, Zone: m.Zone})
	}
	var ended, started, left []core.Incarnation
	for _, c := range changes {
		switch {
		case c.State > swim.Suspect:
			ended = append(ended, core.Incarnation{Name: c.Name, Number: c.Incarnation})
			if c.State == swim.Left || c.Confirmed {
				left = append(left, core.Incarnation{Name: c.Name, Number: c.Incarnation})
			}
		case c.State == swim.Alive:
			if c.New && c.Incarnation > 0 { // an earlier life of the name has ended, whether or not anybody saw it
				ended = append(ended, core.Incarnation{Name: c.Name, Number: c.Incarnation - 1})
			}
			started = append(started, core.Incarnation{Name: c.Name, Number: c.Incarnation})
		}
	}
	i.core.UpdateMembers(members, ended, started, left)
}

// Send and ClockOf are core.Works's.
func (c *peerLink) Send(to string, data []byte) {
	if p := c.joined.Load(); p != nil {
		p.Send(to, data)
	}
}

func (c *peerLink) ClockReading(name string) time.Duration {
	if p := c.joined.Load(); p != nil {
		return p.ClockReading(name)
	}
	return 0
}

// rebuild makes a request of another instance's, once there is a front.
func (i *Instance) rebuildRequest(args [][]byte) (*core.Request, error) {
	f := i.front.Load()
	if f == nil {
		return nil, errors.New("this instance serves nobody yet")
	}
	return f.Rebuild(args)
}

// serveWork answers what is in custody, for `hitchspring status work`.
func (i *Instance) serveWork(w http.ResponseWriter, _ *http.Request) {
	s, ok := i.core.WorkStatus()
	writeStatus(w, s, ok, "work in hand ends with this instance: [takeover] is off")
}

// PeersStatus is what this instance believes of its peers; false where it has none.
func (i *Instance) PeersStatus() (peers.Status, bool) {
	if i.peers == nil {
		return peers.Status{}, false
	}
	if p := i.peers.joined.Load(); p != nil {
		return p.Status(), true
	}
	return peers.Status{}, false
}

// servePeers answers what is known of the peers, for `hitchspring status peers`.
func (i *Instance) servePeers(w http.ResponseWriter, _ *http.Request) {
	s, ok := i.PeersStatus()
	writeStatus(w, s, ok, "this instance takes no part among peers: [peers] is off, or its address is not free yet")
}

// serveNodes answers what is believed of nodes, for `hitchspring status nodes`.
func (i *Instance) serveBackends(w http.ResponseWriter, _ *http.Request) {
	s, ok := i.core.BackendsStatus()
	writeStatus(w, s, ok, "nobody tells of nodes here: [peers] is off")
}

func writeStatus(w http.ResponseWriter, v any, ok bool, why string) {
	if !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(v)
}

// peerFigures exports what the peers come to, read when it is asked for.
type peerCollector struct {
	status                                                       func() (peers.Status, bool)
	members, facts, bytes, messages, traffic, ignored, refuted, stalls *prometheus.Desc
}

func newPeerCollector(status func() (peers.Status, bool)) *peerCollector {
	d := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("hitchspring_peers_"+name, help, labels, nil)
	}
	return &peerCollector{
		status:   status,
		members:  d("members", "Other instances by what is believed of them.", "state"),
		facts:    d("facts", "Facts that are held, of all instances."),
		bytes:    d("facts_bytes", "Memory that facts take."),
		messages: d("messages_total", "Datagrams from and to other instances.", "way"),
		traffic:  d("bytes_total", "Bytes of datagrams from and to other instances.", "way"),
		ignored:    d("left_aside_total", "Datagrams and parts of them that were left aside.", "why"),
		refuted:      d("refuted_total", "Times that others took this instance for gone and were told otherwise."),
		stalls:   d("stalls_total", "Times that this process did not run for long."),
	}
}

// Describe is for prometheus.
func (f *peerCollector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(f, ch) }

// Collect is for prometheus.
func (f *peerCollector) Collect(ch chan<- prometheus.Metric) {
	s, ok := f.status()
	if !ok {
		return
	}
	put := func(d *prometheus.Desc, kind prometheus.ValueType, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, kind, v, labels...)
	}
	states := map[string]float64{"alive": 0, "suspect": 0, "dead": 0, "left": 0}
	for _, m := range s.Members {
		states[m.State]++
	}
	for state, n := range states {
		put(f.members, prometheus.GaugeValue, n, state)
	}
	put(f.facts, prometheus.GaugeValue, float64(s.Facts))
	put(f.bytes, prometheus.GaugeValue, float64(s.Bytes))
	for way, n := range map[string][2]int{"in": {s.Counts.In, s.Counts.BytesIn}, "out": {s.Counts.Out, s.Counts.BytesOut}} {
		put(f.messages, prometheus.CounterValue, float64(n[0]), way)
		put(f.traffic, prometheus.CounterValue, float64(n[1]), way)
	}
	for why, n := range map[string]int{
		"key": s.Counts.WrongKey, "malformed": s.Counts.Malformed + s.Gossip.Malformed, "newer": s.Counts.Newer, "late": s.Gossip.Late,
		"ended life": s.Swim.EndedIncarnation + s.Gossip.EndedIncarnation, "stray": s.Swim.Stray + s.Counts.Unsolicited, "full": s.Swim.Full + s.Gossip.Full,
	} {
		put(f.ignored, prometheus.CounterValue, float64(n), why)
	}
	put(f.refuted, prometheus.CounterValue, float64(s.Swim.Refuted))
	put(f.stalls, prometheus.CounterValue, float64(s.Swim.Stalls))
}
