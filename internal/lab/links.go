package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"hitchspring/internal/lab/link"
	"hitchspring/internal/lab/scenario"
	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/backend"
)

// peerPort is where an instance hears its peers, at its own host; it is outside the span that the system draws ports from.
const peerPort = 7946

// openLinks makes the network of a run in which every way can be faulted, and the key that instances share.
func (w *Testbed) openLinks() error {
	if !w.cfg.Linked {
		return nil
	}
	w.links = link.New(w.cfg.Seed, w.clock)
	w.onClose(w.links.Close)
	w.ways = map[string][]*link.TCPLink{}
	w.key = filepath.Join(w.dir, "peers.key")
	return os.WriteFile(w.key, []byte(fmt.Sprintf("the lab's key for seed %d on %s\n", w.cfg.Seed, w.net)), 0o600)
}

func (w *Testbed) instanceHost(i int) string { return fmt.Sprintf("%s.%d", w.net, firstInstance+i) }

// linkTo is the address at which an instance finds a target.
func (w *Testbed) linkTo(g *ingress, name, target string) (string, error) {
	if w.links == nil {
		return target, nil
	}
	s, err := w.links.AddTCPLink(g.Name, name, g.host, target)
	if err != nil {
		return "", fmt.Errorf("link from %s to %s: %w", g.Name, name, err)
	}
	return s.Addr(), nil
}

// linkNode is the addresses at which the instances find a node's start, in their order.
func (w *Testbed) linkNode(spec backend.Spec, n *backend.Backend) ([]string, error) {
	if w.links == nil {
		return n.Addrs(), nil
	}
	var out []string
	var ways []*link.TCPLink
	for i, target := range n.Addrs() {
		s, err := w.links.AddTCPLink(fmt.Sprint("n", i), spec.ID, w.instanceHost(i), target)
		if err != nil {
			return nil, fmt.Errorf("link to %s: %w", spec.ID, err)
		}
		ways, out = append(ways, s), append(out, s.Addr())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ways[spec.ID] = ways
	return out, nil
}

// stopNode ends a node; nobody can connect to it any more.
func (w *Testbed) stopNode(i int) {
	n, _ := w.node(i)
	n.Stop()
	w.mu.Lock()
	ways := w.ways[n.ID]
	delete(w.ways, n.ID)
	w.mu.Unlock()
	for _, s := range ways {
		s.Close()
	}
}

func (w *Testbed) peerAddr(i int) string { return fmt.Sprintf("%s:%d", w.instanceHost(i), peerPort) }

// peersOf is an instance's section of options on its peers: each is dialled through a link of its own.
func (w *Testbed) peersOf(g *ingress) (string, error) {
	seeds, dial := []string{}, ""
	for i := range w.day.Ingresses {
		if i == g.n {
			continue
		}
		at, err := w.links.AddUDPLink(g.Name, fmt.Sprint("n", i), g.host, w.peerAddr(i))
		if err != nil {
			return "", fmt.Errorf("link from %s to n%d: %w", g.Name, i, err)
		}
		dial += fmt.Sprintf("%q = %q\n", w.peerAddr(i), at)
		if i < 2 || i == (g.n+1)%w.day.Ingresses { // a few, as an operator would name
			seeds = append(seeds, fmt.Sprintf("%q", w.peerAddr(i)))
		}
	}
	key := w.key
	if slices.Contains(w.cfg.Strangers, g.n) {
		key += ".other"
		if err := os.WriteFile(key, []byte("a stranger's key\n"), 0o600); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("[peers]\nname = %q\nlisten = %q\nseeds = [%s]\nkey_file = %q\n[peers.dial]\n%s", g.Name, w.peerAddr(g.n), strings.Join(seeds, ", "), key, dial), nil
}

// doLink puts a fault in force on links.
func (w *Testbed) doLink(s scenario.Step) error {
	if w.links == nil {
		return fmt.Errorf("there are no links in this run")
	}
	f, err := link.Parse(s.Action)
	if err != nil {
		return err
	}
	from, to := w.ends(s.From), w.ends(s.To)
	if err := w.links.Inject(from, to, f); err != nil || !s.Bidirectional {
		return err
	}
	return w.links.Inject(to, from, f)
}

// ends are the names of a link's end: a hall's are its nodes'.
func (w *Testbed) ends(names []string) (out []string) {
	for _, name := range names {
		n := len(out)
		for _, spec := range w.specs {
			if spec.Zone == name {
				out = append(out, spec.ID)
			}
		}
		if len(out) == n {
			out = append(out, name)
		}
	}
	return slices.Compact(out)
}

// idle are the faults of links that never acted: a run with any has not played what it says.
func (w *Testbed) idle() (out []string) {
	if w.links == nil {
		return nil
	}
	type key struct {
		fault link.Fault
		set   int64
	}
	acted := map[key]bool{}
	var order []key
	for _, a := range w.links.FaultRecords() { // one step is on many ways: some may have nothing to carry
		k := key{a.Fault, a.SetAt.Milliseconds() / 50}
		if _, seen := acted[k]; !seen {
			order = append(order, k)
		}
		acted[k] = acted[k] || a.Count > 0
	}
	for _, k := range order {
		if !acted[k] {
			out = append(out, fmt.Sprintf("the fault %s of a link never acted", k.fault.Kind))
		}
	}
	return out
}

// Reports is the name of the testbed's own rule for gossip: no instance leaves a backend because one other reports it.
const Reports = "no node left for one word"

const (
	wordsFrom  = 3 * time.Second // after a fault's beginning, from which on the others' sends are counted
	wordsLeast = 0.35            // of what comes to another node of the hall
	wordsSends = 40              // commands to such a node, below which nothing can be said
)

// LeftOnReport checks, by what backends saw, whether all instances but one have left a backend that serves them while
// only that one can't reach it, by the first fault of a link.
func (r *Report) LeftOnReport(node string, but int) (out []rulecheck.Violation) {
	from := time.Duration(0)
	for _, l := range r.Links {
		if from == 0 || l.SetAt < from {
			from = l.SetAt
		}
	}
	hall := ""
	for _, n := range r.Backends {
		if n.Backend == node {
			hall = n.Zone
		}
	}
	sends := map[string]int{}
	last := time.Duration(0)
	for _, c := range r.Commands {
		if c.Instance != but && c.ArrivedAt > from+wordsFrom {
			sends[c.Backend]++
			last = max(last, c.ArrivedAt)
		}
	}
	others, n := 0, 0
	for _, x := range r.Backends {
		if x.Zone == hall && x.Backend != node {
			others += sends[x.Backend]
			n++
		}
	}
	if usual := float64(others) / float64(max(1, n)); usual >= wordsSends && float64(sends[node]) < wordsLeast*usual {
		out = append(out, rulecheck.Violation{Rule: Reports, At: from, Until: last, Detail: fmt.Sprintf("%d commands of the others came to %s, %.0f to each other node of its hall", sends[node], node, usual)})
	}
	return out
}
