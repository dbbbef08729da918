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

// peerPort is the UDP port of the peer listener on each instance's host. It is outside the ephemeral port range of the
// system.
const peerPort = 7946

// openLinks creates the network of links that can inject faults, and the key file that the instances share.
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

// linkAddress returns the address by which an instance reaches target: that of a new link, or target itself if there
// are no links.
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

// linkBackend returns the addresses by which the instances reach a started backend, in the order of the instances.
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

// stopBackend stops a backend and closes the links to it.
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

// peerOptions returns the [peers] section of an instance's options, with a link of its own to each peer.
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
		if i < 2 || i == (inst.index+1)%tb.scenarioConfig.Ingresses { // only a few, as an operator would configure
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

// injectLinkFault injects the fault of a step into links.
func (tb *Testbed) injectLinkFault(s scenario.Step) error {
	if tb.links == nil {
		return fmt.Errorf("link faults require a run with links")
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

// linkEnds returns names with each zone replaced by the backends in it.
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

// unusedLinkFaults describes the link faults that affected no traffic: a run with any did not test what it claims to.
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
	for _, a := range tb.links.FaultRecords() { // one step applies to many links, some of which may carry no traffic
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

// RuleReports is the testbed's own rule for gossip: no instance avoids a backend on the report of a single peer.
const RuleReports = "no node left for one word"

const (
	reportDelay   = 3 * time.Second // time from a fault until commands are counted
	minSendRatio  = 0.35            // relative to the mean of the other backends in the zone
	minUsualSends = 40              // mean number of commands below which the check is skipped
)

// LeftOnReport returns a violation if the other instances avoid a backend that only one instance, with the index but,
// can't reach. It counts the commands at the backends after the first link fault.
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
