package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"hitchspring/internal/lab/proc"
	"hitchspring/internal/lab/scenario"
	"hitchspring/internal/standin/fault"
	"hitchspring/internal/standin/gate"
	"hitchspring/internal/standin/redis"
)

// newIngress writes an instance's files.
func (w *Testbed) newIngress(i int, program string) (*ingress, error) {
	g := &ingress{w: w, n: i, host: w.instanceHost(i)}
	g.Process = proc.Process{Name: fmt.Sprint("n", i), Program: program, Output: w.cfg.Log, IsServing: g.ping, OnExit: g.ended}
	var err error
	if g.addr, err = g.hold(); err != nil {
		return nil, err
	}
	options := ""
	if w.cfg.HTTP > 0 {
		at, err := g.hold()
		if err != nil {
			return nil, err
		}
		options += fmt.Sprintf("[forward_auth]\nlisten = %q\ntrusted = [\"127.0.0.0/8\"]\nconnections = 400\n", at)
		x := gate.New(at, w.cfg.Seed+uint64(i))
		for _, text := range w.cfg.GateFault {
			r, err := fault.Parse(text)
			if err != nil {
				return nil, err
			}
			x.Fault(r)
		}
		w.gates = append(w.gates, x)
		w.onClose(x.Close)
	}
	agent, err := w.registry.Agent()
	if err != nil {
		return nil, err
	}
	if i == 0 {
		for _, t := range w.targets {
			w.registry.Set(t, true)
		}
	}
	counter := w.store.Addr()
	if agent, err = w.linkTo(g, "discovery", agent); err != nil {
		return nil, err
	}
	if counter, err = w.linkTo(g, "counter", counter); err != nil {
		return nil, err
	}
	if w.cfg.Peers {
		if g.metrics, err = g.hold(); err != nil {
			return nil, err
		}
		lines, err := w.peersOf(g)
		if err != nil {
			return nil, err
		}
		options += fmt.Sprintf("[metrics]\nlisten = %q\n", g.metrics) + lines
	}
	if w.cfg.Takeover {
		options += "[takeover]\n"
	}
	if w.cfg.Escrow {
		options += "[rights]\n"
	}
	options += w.cfg.Options[i]
	config := filepath.Join(w.dir, g.Name+".json")
	text, err := json.Marshal(map[string]any{
		"name": g.Name, "listen": g.addr, "discovery": agent, "counter": counter,
		"seed": fmt.Sprintf("%x", w.cfg.Seed*31+uint64(i)+1), "limits": map[string]any{"cores": 1, "memory_mb": w.cfg.MemoryMB, "sockets": 8192},
		"known": map[string]any{"rev": 0, "all": true, "targets": []any{}}, "settings": w.settings(i),
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	g.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "HITCHSPRING_OPTIONS=")
	if w.day.Store != scenario.StoreTally {
		where := fmt.Sprintf("address = %q\n", counter)
		if w.day.Store == scenario.StoreSentinel {
			s, name, err := w.store.(redisStore).Group().AddSentinel(redis.Options{Listen: w.net + ".1:0"})
			if err != nil {
				return nil, err
			}
			w.onClose(s.Close)
			where = fmt.Sprintf("sentinels = [%q]\nmaster = %q\n", s.Addr(), name)
		}
		options += "[store]\nkind = \"redis\"\n" + where
	}
	if w.cfg.Zones {
		options += fmt.Sprintf("[halls]\nnear = [%q]\ndrills = %q\n%s\n", "hall-"+string(rune('a'+(i+1)%3)), w.drills, w.cfg.ZoneLines)
	}
	if options != "" {
		file := filepath.Join(w.dir, g.Name+".toml")
		if err := os.WriteFile(file, []byte(options), 0o600); err != nil {
			return nil, err
		}
		g.Env = append(g.Env, "HITCHSPRING_OPTIONS="+file)
	}
	return g, nil
}

// settings is the platform's object of settings, for one instance.
func (w *Testbed) settings(i int) map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var cs, ps []any
	for _, c := range w.classes {
		cs = append(cs, map[string]any{
			"name": c.name, "value": c.worth, "objectiveUs": us(c.aim), "deadlineUs": us(c.deadline), "lateShare": c.late,
			"effect": c.effect, "group": map[bool]string{true: "all", false: "cell"}[c.effect == "read_like"], "windowUs": us(keyMemory),
		})
	}
	for _, p := range w.plans {
		ps = append(ps, map[string]any{
			"name": p.name, "price": p.price, "refill": p.rate, "burst": p.burst(), "concurrency": p.open,
			"excessWorth": p.excessWorth, "excessCost": p.excessCost, "hardRate": p.ceilingRate(), "capDepth": p.ceilingBurst(), "tolerance": tolerance,
		})
	}
	return map[string]any{
		"me": i, "replicasOfMe": w.day.Ingresses, "myZone": "hall-" + string(rune('a'+i%3)), "registryMode": "push",
		"classes": cs, "contracts": ps,
		"familyInfo": map[string]any{"counterTimeoutUs": us(80 * ms), "maxUnits": maxUnits, "sharedCounter": true},
		"permissions": map[string]any{
			"connIdleUs": us(15 * time.Second), "connectTimeoutUs": us(250 * ms), "maxOpen": 20000, "maxAttempts": 6,
			"maxRetryAfterUs": us(500 * ms), "mayCancel": true, "probing": true, "parallelTries": true, "retryAfter": true,
		},
		"prices": map[string]any{"crossZone": crossHall},
		"invariants": map[string]any{
			"coldFrom": coldShare, "warmAfterUs": us(warmAfter), "fallMultiple": fallMultiple, "fallUs": us(time.Second),
			"drainGraceUs": us(2 * time.Second),
		},
	}
}
