package sim

import (
	"time"

	"hitchspring/policy"
)

// Kill ends so many gateways within a second; each comes back after down, and knows the nodes as they then are.
func Kill(at time.Duration, gateways int, down time.Duration) Fault {
	return Fault{at, func(w *world) {
		for _, i := range w.rng.Perm(w.Gateways)[:min(gateways, w.Gateways)] {
			g := w.gateways[i]
			w.after(time.Duration(w.rng.Float64()*float64(time.Second)), func() {
				g.up = false
				w.lose(g)
				w.after(down, func() {
					if err := w.start(g); err != nil {
						panic(err) // the same settings were good at the start
					}
				})
			})
		}
	}}
}

// LoseHall takes a hall away, silently; its nodes come back cold, all at once, and the list tells both late.
func LoseHall(at time.Duration, zone string, down time.Duration) Fault {
	return Fault{at, func(w *world) {
		var lost []*node
		for _, n := range w.nodes {
			if n.Zone == zone {
				lost = append(lost, n)
				w.stop(n)
			}
		}
		w.list(lost...)
		w.after(down, func() {
			for _, n := range lost {
				w.boot(n)
			}
			w.list(lost...)
		})
	}}
}

func (w *world) stop(n *node) {
	n.gone, n.State = true, policy.Gone
	n.boots++
	n.queue, n.running = nil, 0
}

func (w *world) boot(n *node) {
	n.gone, n.State, n.Started = false, policy.Running, epoch+w.now
	n.sent = nil
	w.begin(n)
}

// Replace drains nodes and starts new ones in their place, spread over a time.
func Replace(at time.Duration, nodes int, within time.Duration) Fault {
	return Fault{at, func(w *world) {
		for k, i := range w.rng.Perm(len(w.nodes))[:min(nodes, len(w.nodes))] {
			old := w.nodes[i]
			w.after(within*time.Duration(k)/time.Duration(nodes), func() {
				old.State = policy.Draining
				fresh := &node{Backend: old.Backend, cores: old.cores, speed: old.speed, crawl: 1}
				fresh.ID += "-new"
				w.boot(fresh)
				w.nodes = append(w.nodes, fresh)
				w.list(old, fresh)
			})
		}
	}}
}

// Crawl makes nodes slower by a factor for a time.
func Crawl(at time.Duration, nodes int, factor float64, length time.Duration) Fault {
	return Fault{at, func(w *world) {
		for _, n := range w.nodes[:min(nodes, len(w.nodes))] {
			n.crawl = factor
			w.after(length, func() { n.crawl = 1 })
		}
	}}
}

// Refuse makes a node refuse all connections, Mute makes it take them and never answer.
func Refuse(at time.Duration, node int) Fault {
	return Fault{at, func(w *world) { w.nodes[node].refuses = true }}
}

// Mute makes a node take what comes and never answer.
func Mute(at time.Duration, node int) Fault {
	return Fault{at, func(w *world) { w.nodes[node].silent = true }}
}

// Late makes a gateway hear of everything so much later than the rest.
func Late(gateway int, by time.Duration) Fault {
	return Fault{0, func(w *world) { w.gateways[gateway%w.Gateways].late = by }}
}
