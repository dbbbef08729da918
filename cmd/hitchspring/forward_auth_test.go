package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// forwardAuthConfigFile is a configuration with class a and plan p, to which rules may refer.
const forwardAuthConfigFile = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
	"limits":{"cores":1,"sockets":512},
	"known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","az":"a","state":"SERVING"}]},
	"settings":{"replicasOfMe":1,"contracts":[{"name":"p","price":1}],
	"permissions":{"maxAttempts":1,"retryAfter":true,"maxRetryAfterUs":500000},"familyInfo":{"maxUnits":6},
	"classes":[{"name":"a","value":1,"objectiveUs":1000000,"deadlineUs":1000000,"effect":"read_like"}]}}`

// authClient calls the forward authentication listener of a running instance.
type authClient struct {
	*http.Client
	addr string
}

// status returns the status code of a call about a GET request for path, or 0 if the call fails.
func (c authClient) status(t *testing.T, path string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+c.addr+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Forwarded-Method", http.MethodGet)
	req.Header.Set("X-Forwarded-Uri", path)
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// awaitRule waits until a rule matches path: the request is then granted, or rejected for lack of capacity.
func (c authClient) awaitRule(t *testing.T, path string) {
	t.Helper()
	await(t, "a rule for "+path, func() bool {
		switch c.status(t, path) {
		case http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			return true
		}
		return false
	})
}

// awaitNoRule waits until no rule matches path.
func (c authClient) awaitNoRule(t *testing.T, path string) {
	t.Helper()
	await(t, "no rule for "+path, func() bool { return c.status(t, path) == http.StatusBadRequest })
}

// SIGHUP reloads the rule table. An invalid file, or a change of any other value of the section, is rejected and leaves
// the rules as they are. The metrics of forward authentication are served.
func TestForwardAuthInService(t *testing.T) {
	metricsAddr := freeAddr(t)
	client := authClient{Client: &http.Client{Transport: &http.Transport{}}, addr: freeAddr(t)}
	defer client.CloseIdleConnections()
	s := newInProcessServer(t)
	section := fmt.Sprintf("[metrics]\nlisten = %q\n[forward_auth]\nlisten = %q\ntrusted = [\"127.0.0.1\"]\n",
		metricsAddr, client.addr) + "connections = 50\n"
	rule := func(path string) string {
		return fmt.Sprintf("[[forward_auth.rule]]\npath = %q\nclass = \"a\"\nplan = \"p\"\n", path)
	}
	writeFile(t, s.configPath, forwardAuthConfigFile)
	writeFile(t, s.optionsPath, section+rule("/one/{channel}"))
	s.start(s.optionsPath)
	client.awaitRule(t, "/one/3e9")
	client.awaitNoRule(t, "/two/3e9")
	writeFile(t, s.optionsPath, section+rule("/two/{channel}"))
	s.sendSIGHUP()
	client.awaitRule(t, "/two/3e9")
	client.awaitNoRule(t, "/one/3e9")
	for _, bad := range []string{
		section + rule("/{nonsense}"),
		strings.Replace(section, "connections = 50", "connections = 60", 1) + rule("/three/{channel}"),
		section + "rules = 3",
	} {
		writeFile(t, s.optionsPath, bad)
		s.sendSIGHUP()
		time.Sleep(50 * time.Millisecond)
		client.awaitRule(t, "/two/3e9")
		client.awaitNoRule(t, "/three/3e9")
	}
	text := readMetrics(t, client.Client, metricsAddr)
	for _, want := range []string{`hitchspring_forward_auth_calls_total{answer="unreadable"}`, "process_open_fds"} {
		if !strings.Contains(text, want) {
			t.Errorf("got metrics\n%s\nwant them with %s", text, want)
		}
	}
	s.requireShutdown(t)
}

// readMetrics returns the text of /metrics at a metrics listener.
func readMetrics(t *testing.T, client *http.Client, addr string) string {
	t.Helper()
	resp, err := client.Get("http://" + addr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
