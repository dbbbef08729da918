// Package discovery follows the platform's list of nodes: it lists, watches, resumes, and leaves aside what says nothing. In:
// the agent's address, and the list last held. Out: lists and changes, each posted as it comes. It knows neither the
// decision module's books nor a connection to a node.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"hitchspring/internal/store"
	"hitchspring/logic"
)

const (
	watchSilence = 4500 * time.Millisecond // two of the empty lines that come every 2 s: what a silent watch misses counts as told after 6 s
	listTimeout  = 1 * time.Second         // the agent answers at once, unless discovery is down
	agentPause   = 400 * time.Millisecond  // the longest before an agent is asked again that answers by itself
	firstPause   = 100 * time.Millisecond  // before the list is asked for again; doubled each time
	longestPause = 2 * time.Second
	few          = 20                     // instances that may each ask at their own pace
	callSpace    = 100 * time.Millisecond // of more: their calls together come one in so long after a failure, or later
	allCalls     = 8 * time.Second        // in which discovery can take a call of each, however many they are
	mostSpace    = 2                      // times their pause, at the most
	reopenWithin = 1 * time.Second        // of more: within it all watches are opened again that fell silent together
	maxList      = 1 << 20
)

// List is the list of nodes, or the entries of it that changed.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Deleted is the state of an entry of a change that ends a node.
const Deleted = "DELETED"

const serving = "SERVING"

// Target is one node of the list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// Server is the entry as the decision module has it; an unknown state is draining.
func (t Target) Server() logic.Server {
	s := logic.Server{ID: logic.ServerID(t.UID), Zone: t.Zone, Kind: t.Model, Cell: t.Group, Size: t.Capacity,
		Started: time.Duration(t.BootMS) * time.Millisecond}
	switch t.State {
	case serving:
		s.State = logic.Running
	case Deleted:
		s.State = logic.Gone
	}
	return s
}

// Watcher keeps an instance's list of nodes up to date.
type Watcher struct {
	url    string
	rev    int64
	client *http.Client
	moves  store.Latest[string]
	post   func(List)
	first  chan struct{} // closed after the first list, or when that failed
	log    *slog.Logger
	pauses [2]time.Duration // the first and the longest before asking again
	known  bool             // a list came with the configuration, and many instances would ask at once
	agent  bool             // the list is pushed: the agent answers by itself, at once and at no cost
}

// New returns a watcher of the agent at an address, which holds the list of a revision already. It posts every further list
// and change from its own goroutine. Instances is how many share what discovery can do (1: its agent
// answers by itself): it has one capacity for all of them, and what
// is asked of it while it is overbooked is work for nothing. Beyond a few, those that hold a list (known) begin to watch
// within instances x 25 ms (2 s at most) and ask for no whole list besides; after a failure all come back at one call in 100 ms
// together, at last one in 200 ms, but each within 8 s, at last 16: in 8 s discovery can take a call of everyone.
func New(addr string, rev int64, instances int, known bool, post func(List), log *slog.Logger) *Watcher {
	pauses := [2]time.Duration{firstPause, longestPause}
	switch {
	case instances == 1:
		pauses[1] = agentPause
	case instances > few:
		pauses[0] = min(time.Duration(instances)*callSpace, allCalls)
		pauses[1] = mostSpace * pauses[0]
	}
	return &Watcher{pauses: pauses, agent: instances == 1, known: known && instances > few, url: listURL(addr), rev: rev, moves: store.NewLatest[string](), post: post, log: log,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}}, first: make(chan struct{})}
}

func listURL(addr string) string { return "http://" + addr + "/registry/instances" }

// Listed closes when a first list has come, or that has failed.
func (d *Watcher) Listed() <-chan struct{} { return d.first }

// Move goes over to another address; of several the last counts. It waits for nothing.
func (d *Watcher) Move(addr string) { d.moves.Set(addr) }

// Run lists and watches until ctx ends, at each address that it is moved to in turn.
func (d *Watcher) Run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	first := sync.OnceFunc(func() { close(d.first) })
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			defer close(left)
			d.follow(here, first)
		}()
		select {
		case <-ctx.Done():
		case addr := <-d.moves:
			d.log.Info("discovery moves", "to", addr)
			leave()
			<-left
			d.client.CloseIdleConnections()
			d.url = listURL(addr)
		}
		leave()
		<-left
	}
}

// follow lists, then watches, at one address. Whatever breaks the watch, it resumes from the version held.
func (d *Watcher) follow(ctx context.Context, listed func()) {
	if d.known { // serves with what it has; the watch brings the rest
		listed()
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(d.pauses[0] / 4)):
		}
	} else if err := d.list(ctx); err != nil && ctx.Err() == nil {
		d.log.Warn("discovery: no list yet", "err", err)
	}
	listed()
	for pause := d.pauses[0]; ctx.Err() == nil; pause = min(2*pause, d.pauses[1]) {
		began := time.Now()
		heard, err := d.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		d.log.Warn("discovery: the watch ended", "err", err)
		wait := pause/2 + rand.N(pause)
		if heard || time.Since(began) > watchSilence { // it was no call that failed: what it misses is owed soon
			pause = d.pauses[0]
			wait = min(pause/2+rand.N(pause), rand.N(reopenWithin))
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// list brings the whole list once.
func (d *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	body, err := d.get(ctx, d.url)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxList))
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	return d.tell(text)
}

// watch follows the changes; it always ends with an error, and says whether anything came on it. Nothing may keep it waiting for good:
// neither an agent that takes the call and doesn't answer, nor a watch that falls silent, between two changes or within one.
func (d *Watcher) watch(ctx context.Context) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	within := watchSilence
	if d.agent {
		within = listTimeout
	}
	silence := time.AfterFunc(within, func() { cancel(errSilent) })
	defer silence.Stop()
	defer func() {
		if errors.Is(context.Cause(ctx), errSilent) {
			err = errSilent
		}
	}()
	body, err := d.get(ctx, fmt.Sprintf("%s?follow=1&since=%d", d.url, d.rev))
	if err != nil {
		return false, err
	}
	defer body.Close()
	silence.Reset(watchSilence)
	in := &bounded{Reader: body, came: func() {
		heard = true
		silence.Reset(watchSilence)
	}}
	for lists := json.NewDecoder(in); ; { // a list may stand on one line or be indented over many
		in.left = maxList
		var f List
		if err := lists.Decode(&f); err != nil {
			if bad := (*json.SyntaxError)(nil); errors.As(err, &bad) { // it would be the same again
				heard = false
			} else if bad := (*json.UnmarshalTypeError)(nil); errors.As(err, &bad) {
				heard = false
			}
			return heard, fmt.Errorf("watch: %w", err)
		}
		d.take(f)
	}
}

// errSilent is why a watch was given up on which nothing comes any more.
var errSilent = errors.New("watch: silent")

// bounded reads so many bytes at most until more are allowed, and says when some have come.
type bounded struct {
	io.Reader
	left int
	came func()
}

// Read is io.Reader's.
func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errors.New("a list that does not end")
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	if n > 0 {
		b.left -= n
		b.came()
	}
	return n, err
}

func (d *Watcher) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answers %s", resp.Status)
	}
	return resp.Body, nil
}

// tell passes a list or a change on.
func (d *Watcher) tell(text []byte) error {
	var f List
	if err := json.Unmarshal(text, &f); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	d.take(f)
	return nil
}

// take passes a list or a change on, unless a later one has been.
func (d *Watcher) take(f List) {
	if f.Rev < d.rev { // it would revive what is gone
		d.log.Warn("discovery: an older list is left aside", "rev", f.Rev, "held", d.rev)
		return
	}
	d.rev = f.Rev
	d.post(f.Usable(d.log))
}

// Usable is the list without the entries that say nothing. That a node drains is heard also where the rest of its entry can't be used: it
// is owed that nothing more is sent to it.
func (f List) Usable(log *slog.Logger) List {
	usable := make([]Target, 0, len(f.Targets))
	for _, t := range f.Targets {
		err := t.check()
		switch {
		case err == nil:
		case t.UID == "" || t.State == serving:
			log.Warn("an entry of the list is left aside", "err", err)
			continue
		default:
			log.Warn("of an entry of the list only the state is used", "err", err, "state", t.State)
			t.Endpoint, t.BootMS = "", 0
		}
		usable = append(usable, t)
	}
	f.Targets = usable
	return f
}

// check says what makes an entry useless. One that tells only that a node is gone needs no address.
func (t Target) check() error {
	if t.UID == "" {
		return errors.New("no id")
	}
	if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && t.State != Deleted {
		return fmt.Errorf("%s: %w", t.UID, err)
	}
	if t.BootMS < 0 || t.BootMS > math.MaxInt64/int64(time.Millisecond) {
		return fmt.Errorf("%s: started at %d", t.UID, t.BootMS)
	}
	return nil
}
