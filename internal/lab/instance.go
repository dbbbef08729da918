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

// newInstance prepares an instance: it reserves its addresses, creates its links and writes its configuration files.
func (tb *Testbed) newInstance(i int, program string) (*instance, error) {
	inst := &instance{tb: tb, index: i, host: tb.instanceHost(i)}
	inst.Process = proc.Process{Name: fmt.Sprint("n", i), Program: program, Output: tb.cfg.Log, IsServing: inst.ping, OnExit: inst.handleExit}
	var err error
	if inst.addr, err = inst.reserveAddress(); err != nil {
		return nil, err
	}
	options := ""
	if tb.cfg.HTTPShare > 0 {
		address, err := inst.reserveAddress()
		if err != nil {
			return nil, err
		}
		options += fmt.Sprintf("[forward_auth]\nlisten = %q\ntrusted = [\"127.0.0.0/8\"]\nconnections = 400\n", address)
		gateStandIn := gate.New(address, tb.cfg.Seed+uint64(i))
		for _, text := range tb.cfg.GateFaultRules {
			r, err := fault.Parse(text)
			if err != nil {
				return nil, err
			}
			gateStandIn.Fault(r)
		}
		tb.gates = append(tb.gates, gateStandIn)
		tb.onClose(gateStandIn.Close)
	}
	agent, err := tb.registry.AddAgent()
	if err != nil {
		return nil, err
	}
	if i == 0 {
		for _, t := range tb.targets {
			tb.registry.Set(t, true)
		}
	}
	counter := tb.store.Addr()
	if agent, err = tb.linkAddress(inst, "discovery", agent); err != nil {
		return nil, err
	}
	if counter, err = tb.linkAddress(inst, "counter", counter); err != nil {
		return nil, err
	}
	if tb.cfg.Peers {
		if inst.metricsAddr, err = inst.reserveAddress(); err != nil {
			return nil, err
		}
		lines, err := tb.peerOptions(inst)
		if err != nil {
			return nil, err
		}
		options += fmt.Sprintf("[metrics]\nlisten = %q\n", inst.metricsAddr) + lines
	}
	if tb.cfg.Takeover {
		options += "[takeover]\n"
	}
	if tb.cfg.Escrow {
		options += "[rights]\n"
	}
	options += tb.cfg.Options[i]
	config := filepath.Join(tb.dir, inst.Name+".json")
	text, err := json.Marshal(map[string]any{
		"name": inst.Name, "listen": inst.addr, "discovery": agent, "counter": counter,
		"seed": fmt.Sprintf("%x", tb.cfg.Seed*31+uint64(i)+1), "limits": map[string]any{"cores": 1, "memory_mb": tb.cfg.MemoryMB, "sockets": 8192},
		"known": map[string]any{"rev": 0, "all": true, "targets": []any{}}, "settings": tb.settings(i),
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	inst.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "HITCHSPRING_OPTIONS=")
	if tb.scenarioConfig.Store != scenario.StoreTally {
		where := fmt.Sprintf("address = %q\n", counter)
		if tb.scenarioConfig.Store == scenario.StoreSentinel {
			s, name, err := tb.store.(redisStore).Group().AddSentinel(redis.Options{Listen: tb.network + ".1:0"})
			if err != nil {
				return nil, err
			}
			tb.onClose(s.Close)
			where = fmt.Sprintf("sentinels = [%q]\nmaster = %q\n", s.Addr(), name)
		}
		options += "[store]\nkind = \"redis\"\n" + where
	}
	if tb.cfg.Zones {
		options += fmt.Sprintf("[halls]\nnear = [%q]\ndrills = %q\n%s\n", "hall-"+string(rune('a'+(i+1)%3)), tb.drainFile, tb.cfg.ZoneLines)
	}
	if options != "" {
		file := filepath.Join(tb.dir, inst.Name+".toml")
		if err := os.WriteFile(file, []byte(options), 0o600); err != nil {
			return nil, err
		}
		inst.Env = append(inst.Env, "HITCHSPRING_OPTIONS="+file)
	}
	return inst, nil
}

// settings returns the platform settings of one instance, for its configuration file.
func (tb *Testbed) settings(i int) map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var cs, ps []any
	for _, c := range tb.classes {
		cs = append(cs, map[string]any{
			"name": c.name, "value": c.priorityWeight, "objectiveUs": us(c.latencyObjective), "deadlineUs": us(c.deadline), "lateShare": c.lateShare,
			"effect": c.effect, "group": map[bool]string{true: "all", false: "cell"}[c.effect == "read_like"], "windowUs": us(idempotencyWindow),
		})
	}
	for _, p := range tb.plans {
		ps = append(ps, map[string]any{
			"name": p.name, "price": p.price, "refill": p.refillRate, "burst": p.burst(), "concurrency": p.concurrency,
			"excessWorth": p.excessWorth, "excessCost": p.excessCost, "hardRate": p.ceilingRate(), "capDepth": p.ceilingBurst(), "tolerance": ceilingTolerance,
		})
	}
	return map[string]any{
		"me": i, "replicasOfMe": tb.scenarioConfig.Ingresses, "myZone": "hall-" + string(rune('a'+i%3)), "registryMode": "push",
		"classes": cs, "contracts": ps,
		"familyInfo": map[string]any{"counterTimeoutUs": us(80 * ms), "maxUnits": maxUnits, "sharedCounter": true},
		"permissions": map[string]any{
			"connIdleUs": us(15 * time.Second), "connectTimeoutUs": us(250 * ms), "maxOpen": 20000, "maxAttempts": 6,
			"maxRetryAfterUs": us(500 * ms), "mayCancel": true, "probing": true, "parallelTries": true, "retryAfter": true,
		},
		"prices": map[string]any{"crossZone": crossZonePrice},
		"invariants": map[string]any{
			"coldFrom": slowStartShare, "warmAfterUs": us(slowStartWindow), "fallMultiple": overloadMultiple, "fallUs": us(time.Second),
			"drainGraceUs": us(2 * time.Second),
		},
	}
}
