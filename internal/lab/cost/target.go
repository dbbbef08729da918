package cost

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"hitchspring/internal/lab/proc"
)

const (
	memoryMB   = 64
	maxSockets = 8192
	// tenantQuota is each tenant's refill per second and its burst, in units. No load here reaches it.
	tenantQuota = 1e5
)

// target is the process under measurement: a build or the bare proxy.
type target struct {
	proc.Process
	addr *proc.ReservedAddress // reserved for the process
}

// startTarget starts a build, or the bare proxy, in front of the backends and waits until it serves.
func startTarget(ctx context.Context, c *Config, build Build, b *backends, dir string) (*target, error) {
	address, err := proc.ReserveAddress(loopback)
	if err != nil {
		return nil, err
	}
	t := &target{addr: address}
	t.Process = proc.Process{Name: build.Name, IsServing: func() bool { return answersPing(address.Addr()) }}
	t.Env = append(os.Environ(), "GOMAXPROCS=1", "HITCHSPRING_OPTIONS=", "ROUTER_ADMIN_ADDR=", "ROUTER_SOCKET_FD=")
	if build.Name == BareProxy {
		t.Program = c.Proxy[0]
		t.Args = append(append([]string{}, c.Proxy[1:]...), "--listen", address.Addr())
		for _, addr := range b.addresses() {
			t.Args = append(t.Args, "--backend", addr)
		}
	} else {
		t.Program = build.Program
		file, err := writeConfig(dir, b, address.Addr())
		if err != nil {
			address.Release()
			return nil, err
		}
		t.Env = append(t.Env, "ROUTER_CONFIG="+file)
	}
	if err := t.Start(ctx); err != nil {
		t.stop()
		return nil, fmt.Errorf("build %s, program %s: %w", build.Name, t.Program, err)
	}
	return t, nil
}

// stop kills the process and releases its address.
func (t *target) stop() {
	t.Stop(syscall.SIGKILL)
	t.addr.Release()
}

// answersPing reports whether a PING to the address is answered with PONG.
func answersPing(addr string) bool {
	nc, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(500 * time.Millisecond))
	if _, err := io.WriteString(nc, ping); err != nil {
		return false
	}
	answer := make([]byte, len(pong))
	_, err = io.ReadFull(nc, answer)
	return err == nil && string(answer) == pong
}

// writeConfig writes the file that ROUTER_CONFIG names and returns its path.
func writeConfig(dir string, b *backends, listen string) (file string, err error) {
	text, err := json.Marshal(map[string]any{
		"name": "cost", "listen": listen, "discovery": b.agent, "counter": b.counter.Addr(), "seed": "1",
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": maxSockets},
		"known":    map[string]any{"rev": 0, "all": true, "targets": []any{}},
		"settings": settings(),
	})
	if err != nil {
		return "", err
	}
	file = filepath.Join(dir, "router.json")
	return file, os.WriteFile(file, text, 0o600)
}

// settings returns the platform's settings for the ingress, with quotas that no load here reaches.
func settings() map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	return map[string]any{
		"me": 0, "replicasOfMe": 1, "myZone": zone, "registryMode": "push",
		"classes": []any{map[string]any{
			"name": requestClass, "value": 2, "lateShare": 0.1, "effect": "read_like", "group": "all",
			"objectiveUs": us(400 * time.Millisecond), "deadlineUs": us(requestDeadline),
			"windowUs": us(3 * time.Second),
		}},
		"contracts": []any{map[string]any{
			"name": tenantPlan, "price": 1, "refill": tenantQuota, "burst": tenantQuota, "excessCost": 1,
		}},
		"familyInfo": map[string]any{
			"counterTimeoutUs": us(80 * time.Millisecond), "maxUnits": 6, "sharedCounter": true,
		},
		"permissions": map[string]any{
			"connIdleUs": us(15 * time.Second), "connectTimeoutUs": us(250 * time.Millisecond), "maxOpen": 20000,
			"maxAttempts": 6, "maxRetryAfterUs": us(500 * time.Millisecond), "mayCancel": true, "probing": true,
			"parallelTries": true, "retryAfter": true,
		},
		"prices": map[string]any{"crossZone": 0.01},
		"invariants": map[string]any{
			"coldFrom": 0.25, "warmAfterUs": us(18 * time.Second), "fallMultiple": 4, "fallUs": us(time.Second),
			"drainGraceUs": us(2 * time.Second),
		},
	}
}
