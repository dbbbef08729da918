package redis

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	goredis "github.com/redis/go-redis/v9"
)

// sendRequest sends an HTTP request and returns the status and the body of the response.
func sendRequest(t *testing.T, method, url, body string) (status int, answer string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// startWithReplica starts a primary with one replica and returns the primary.
func startWithReplica(t *testing.T) *Server {
	t.Helper()
	s := startServer(t, Options{})
	if _, err := s.Group().AddReplica(Options{}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, o := range s.Group().servers {
			o.Close()
		}
	})
	return s
}

// The control port executes valid lines and answers invalid ones with an error that quotes the line.
func TestControl(t *testing.T) {
	s := startWithReplica(t)
	web := httptest.NewServer(s.Control())
	t.Cleanup(web.Close)
	send := func(method, path, body string) (int, string) {
		t.Helper()
		return sendRequest(t, method, web.URL+path, body)
	}
	for _, line := range []string{
		"", "wobble", "stop", "stop soon", "stop -1s", "maxclients x", "load", "stall 1s at",
	} {
		if code, text := send("POST", "/fault", line); code != 400 || !strings.Contains(text, "fault ") {
			t.Errorf("%q: %d %s", line, code, text)
		}
	}
	c := goredis.NewClient(&goredis.Options{Addr: s.Addr(), MaxRetries: -1})
	defer c.Close()
	fails := func(text string) {
		t.Helper()
		checkSet(t, "control", c, text)
	}
	do := func(line string) {
		t.Helper()
		if code, text := send("POST", "/fault", line); code != 200 {
			t.Fatalf("%q: %d %s", line, code, text)
		}
	}
	do("full 1h")
	fails("OOM")
	s.SetOutOfMemory(false)
	do("readonly 1h")
	fails("READONLY")
	s.SetReadOnly(false)
	do("load 1h")
	fails("LOADING")
	do("load 0s")
	do("fail on SET text ERR as you wish")
	fails("as you wish")
	if code, _ := send("DELETE", "/fault", ""); code != 200 {
		t.Fatal(code)
	}
	fails("")
	do("flush")
	if n := c.DBSize(t.Context()).Val(); n != 0 {
		t.Fatal(n)
	}
	do("lag 1h")
	fails("")
	do("failover")
	for end := time.Now().Add(10 * time.Second); s.Clients() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	fails("READONLY") // the old primary is a replica now
	if _, text := send("GET", "/records", ""); !strings.Contains(text, `"Fault":"fail"`) {
		t.Fatal(text)
	}
}
