package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Target is an entry of discovery's list.
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

// List is discovery's list.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Discovery starts a discovery agent whose list does not change, and returns its address.
func Discovery(list List) string {
	ln := Listen()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/registry/instances" {
			http.NotFound(w, r)
			return
		}
		encoder := json.NewEncoder(w)
		if r.URL.Query().Get("follow") == "" {
			encoder.Encode(list)
			return
		}
		since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		if since < list.Rev {
			encoder.Encode(list)
		}
		for { // an empty line every 2 s
			fmt.Fprint(w, "\n")
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
			}
		}
	})}
	go server.Serve(ln)
	return ln.Addr().String()
}

// Counter starts the platform's counter and returns its address.
func Counter() string {
	ln := Listen()
	type number struct {
		total   float64
		expires time.Time
	}
	var mu sync.Mutex
	numbers := map[string]*number{}
	call := func(line string) string {
		if line == "ping" {
			return "pong"
		}
		words := strings.Fields(line)
		if len(words) != 4 || words[0] != "tally" || len(words[1]) > 64 {
			return "error"
		}
		amount, err1 := strconv.ParseFloat(words[2], 64)
		life, err2 := strconv.Atoi(words[3])
		if err1 != nil || err2 != nil || life < 1 || amount > 1e9 || amount < -1e9 {
			return "error"
		}
		mu.Lock()
		defer mu.Unlock()
		n := numbers[words[1]]
		if n == nil || time.Now().After(n.expires) {
			n = &number{expires: time.Now().Add(time.Duration(min(life, 60000)) * time.Millisecond)}
			numbers[words[1]] = n
		}
		n.total += amount
		return "ok " + strconv.FormatFloat(n.total, 'g', 7, 64)
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					conn.SetReadDeadline(time.Now().Add(10 * time.Second))
					line, err := readLine(in)
					if err != nil {
						return
					}
					time.Sleep(500 * time.Microsecond)
					if _, err := conn.Write([]byte(call(line) + "\r\n")); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Listen listens on a free loopback port.
func Listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fatal("listen: %v", err)
	}
	return ln
}

// FreeAddr returns a loopback address that nothing listens on.
func FreeAddr() string {
	ln := Listen()
	defer ln.Close()
	return ln.Addr().String()
}

// Settings returns the settings of a small deployment with the classes and plans of the site bergen-playout.
func Settings(instances int) map[string]any {
	class := func(name, effect string, value, late float64, objective, deadline, window int) map[string]any {
		return map[string]any{
			"name": name, "effect": effect, "group": "cell", "value": value, "lateShare": late,
			"objectiveUs": objective, "deadlineUs": deadline, "windowUs": window, "streaming": false,
		}
	}
	plan := func(name string, price, refill, burst, excess float64) map[string]any {
		return map[string]any{
			"name": name, "price": price, "refill": refill, "burst": burst, "concurrency": 0,
			"excessCost": excess, "excessWorth": 0, "hardRate": 0, "capDepth": 0, "tolerance": 0,
		}
	}
	return map[string]any{
		"family": "gate", "tier": 0, "layers": []string{"playout-fleet"}, "me": 0, "replicasOfMe": instances,
		"myZone": "hall-a", "zones": []string{"hall-a", "hall-b", "hall-c"}, "flavors": []string{"std-2c", "slow-3c"},
		"periodUs": 4000, "registryMode": "automatic", "weightSource": "silent",
		"callers": map[string]any{"marksRetry": false},
		"classes": []any{
			class("guide-read", "read_like", 2, 0, 400000, 1000000, 5000000),
			class("schedule-set", "read_like", 2, 0.2, 750000, 2000000, 5000000),
			class("clip-publish", "idempotency_key", 5, 0, 1500000, 5000000, 3000000),
		},
		"contracts": []any{
			plan("grend", 0.45, 2.1, 11, 1.2), plan("bygd", 0.88, 6.8, 38, 0.8), plan("by", 1.1, 21, 50, 0.5),
			map[string]any{
				"name": "storby", "price": 1.6, "refill": 52, "burst": 150, "concurrency": 0,
				"excessCost": 0.6, "excessWorth": 0, "hardRate": 110, "capDepth": 340, "tolerance": 34,
			},
		},
		"familyInfo": map[string]any{
			"costAfter": false, "counterPrice": 0.005, "counterTimeoutUs": 80000, "maxUnits": 6,
			"meterUs": 0, "peerIntake": 0, "sharedCounter": true,
		},
		"invariants": map[string]any{
			"answerSlackUs": 16000, "askWithinUs": 10000000, "coldFrom": 0.25,
			"drainGraceUs": 2000000, "fallMultiple": 4, "fallUs": 1000000, "warmAfterUs": 18000000,
		},
		"objectiveMix": map[string]any{"whole": 0.5, "worstClass": 0.1, "worstTenant": 0.15, "worstWindow": 0.25},
		"permissions": map[string]any{
			"connIdleUs": 15000000, "connectTimeoutUs": 250000, "cpuUsPerRequest": 0,
			"cpuUsPerS": 400000, "maxAttempts": 6, "maxOpen": 20000, "maxRetryAfterUs": 500000, "maxStreams": 100,
			"mayCancel": true, "mayTell": false, "parallelTries": true, "probing": true, "retryAfter": true,
		},
		"prices": map[string]any{
			"connection": 0, "crossZone": 0.01, "handshake": 0, "lateFail": 0.05, "moves": 0,
			"origin": 0, "peer": 0, "probe": 0.01, "registryMode": 0, "waste": 0.03,
		},
		"report": map[string]any{"columns": []string{"qps"}, "how": "pull"},
	}
}
