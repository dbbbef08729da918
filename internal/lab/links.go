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
func (tb *Testbed) openLinks() error {
	if !tb.cfg.Linked {
		return nil
	}
	tb.links = link.New(tb.cfg.Seed, tb.clock)
	tb.onClose(tb.links.Close)
	tb.backendLinks = map[string][]*link.TCPLink{}
	tb.peerKeyFile = filepath.Join(tb.dir, "peers.key")
	return os.WriteFile(tb.peerKeyFile, []byte(fmt.Sprintf("the lab's key for seed %d on %s\n", tb.cfg.Seed, tb.network)), 0o600)
}

func (tb *Testbed) instanceHost(i int) string {
	return fmt.Sprintf("%s.%d", tb.network, firstInstanceHost+i)
}

// linkAddress is the address at which an instance finds a target.
func (tb *Testbed) linkAddress(inst *instance, name, target string) (string, error) {
	if tb.links == nil {
		return target, nil
	}
	s, err := tb.links.AddTCPLink(inst.Name, name, inst.host, target)
	if err != nil {
		return "", fmt.Errorf("link from %s to %s: %w", inst.Name, name, err)
	}
	return s.Addr(), nil
}

// linkBackend is the addresses at which the instances find a node's start, in their order.
func (tb *Testbed) linkBackend(spec backend.Spec, n *backend.Backend) ([]string, error) {
	if tb.links == nil {
		return n.Addrs(), nil
	}
	var out []string
	var backendLinks []*link.TCPLink
	for i, target := range n.Addrs() {
		s, err := tb.links.AddTCPLink(fmt.Sprint("n", i), spec.ID, tb.instanceHost(i), target)
		if err != nil {
			return nil, fmt.Errorf("link to %s: %w", spec.ID, err)
		}
		backendLinks, out = append(backendLinks, s), append(out, s.Addr())
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.backendLinks[spec.ID] = backendLinks
	return out, nil
}

// stopBackend ends a node; nobody can connect to it any more.
func (tb *Testbed) stopBackend(i int) {
	n, _ := tb.backendAt(i)
	n.Stop()
	tb.mu.Lock()
	backendLinks := tb.backendLinks[n.ID]
	delete(tb.backendLinks, n.ID)
	tb.mu.Unlock()
	for _, s := range backendLinks {
		s.Close()
	}
}

func (tb *Testbed) peerAddr(i int) string { return fmt.Sprintf("%s:%d", tb.instanceHost(i), peerPort) }

// peerOptions is an instance's section of options on its peers: each is dialled through a link of its own.
func (tb *Testbed) peerOptions(inst *instance) (string, error) {
	seeds, dial := []string{}, ""
	for i := range tb.scenarioConfig.Ingresses {
		if i == inst.index {
			continue
		}
		address, err := tb.links.AddUDPLink(inst.Name, fmt.Sprint("n", i), inst.host, tb.peerAddr(i))
		if err != nil {
			return "", fmt.Errorf("link from %s to n%d: %w", inst.Name, i, err)
		}
		dial += fmt.Sprintf("%q = %q\n", tb.peerAddr(i), address)
		if i < 2 || i == (inst.index+1)%tb.scenarioConfig.Ingresses { // a few, as an operator would name
			seeds = append(seeds, fmt.Sprintf("%q", tb.peerAddr(i)))
		}
	}
	peerKeyFile := tb.peerKeyFile
	if slices.Contains(tb.cfg.WrongKeyInstances, inst.index) {
		peerKeyFile += ".other"
		if err := os.WriteFile(peerKeyFile, []byte("a stranger's key\n"), 0o600); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("[peers]\nname = %q\nlisten = %q\nseeds = [%s]\nkey_file = %q\n[peers.dial]\n%s", inst.Name, tb.peerAddr(inst.index), strings.Join(seeds, ", "), peerKeyFile, dial), nil
}

// injectLinkFault puts a fault in force on links.
func (tb *Testbed) injectLinkFault(s scenario.Step) error {
	if tb.links == nil {
		return fmt.Errorf("there are no links in this run")
	}
	f, err := link.Parse(s.Action)
	if err != nil {
		return err
	}
	from, to := tb.linkEnds(s.From), tb.linkEnds(s.To)
	if err := tb.links.Inject(from, to, f); err != nil || !s.Bidirectional {
		return err
	}
	return tb.links.Inject(to, from, f)
}

// linkEnds are the names of a link's end: a hall's are its nodes'.
func (tb *Testbed) linkEnds(names []string) (out []string) {
	for _, name := range names {
		n := len(out)
		for _, spec := range tb.specs {
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

// unusedLinkFaults are the faults of links that never acted: a run with any has not played what it says.
func (tb *Testbed) unusedLinkFaults() (out []string) {
	if tb.links == nil {
		return nil
	}
	type key struct {
		fault link.Fault
		set   int64
	}
	acted := map[key]bool{}
	var order []key
	for _, a := range tb.links.FaultRecords() { // one step is on many ways: some may have nothing to carry
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

// RuleReports is the name of the testbed's own rule for gossip: no instance leaves a backend because one other reports it.
const RuleReports = "no node left for one word"

const (
	reportDelay   = 3 * time.Second // after a fault's beginning, from which on the others' sends are counted
	minSendRatio  = 0.35            // slowness what comes to another node of the hall
	minUsualSends = 40              // addCommands to such a node, below which nothing can be said
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
	zone := ""
	for _, n := range r.Backends {
		if n.Backend == node {
			zone = n.Zone
		}
	}
	sends := map[string]int{}
	last := time.Duration(0)
	for _, c := range r.Commands {
		if c.Instance != but && c.ArrivedAt > from+reportDelay {
			sends[c.Backend]++
			last = max(last, c.ArrivedAt)
		}
	}
	others, n := 0, 0
	for _, x := range r.Backends {
		if x.Zone == zone && x.Backend != node {
			others += sends[x.Backend]
			n++
		}
	}
	if meanSends := float64(others) / float64(max(1, n)); meanSends >= minUsualSends && float64(sends[node]) < minSendRatio*meanSends {
		out = append(out, rulecheck.Violation{Rule: RuleReports, At: from, Until: last, Detail: fmt.Sprintf("%d commands of the others came to %s, %.0f to each other node of its hall", sends[node], node, meanSends)})
	}
	return out
}
