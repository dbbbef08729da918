package redis

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	goredis "github.com/redis/go-redis/v9"
)

// The control port does what its lines say, and says what is wrong with a line.
func TestControl(t *testing.T) {
	s := startServer(t, Options{})
	if _, err := s.Group().AddReplica(Options{}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, o := range s.Group().servers {
			o.Close()
		}
	})
	web := httptest.NewServer(s.Control())
	t.Cleanup(web.Close)
	send := func(method, path, body string) (int, string) {
		t.Helper()
		req, _ := http.NewRequest(method, web.URL+path, strings.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b)
	}
	for _, line := range []string{"", "wobble", "stop", "stop soon", "stop -1s", "maxclients x", "load", "stall 1s at"} {
		if code, text := send("POST", "/fault", line); code != 400 || !strings.Contains(text, "fault ") {
			t.Errorf("%q: %d %s", line, code, text)
		}
	}
	ctx := context.Background()
	c := goredis.NewClient(&goredis.Options{Addr: s.Addr(), MaxRetries: -1})
	defer c.Close()
	fails := func(word string) {
		t.Helper()
		if err := c.Set(ctx, "k", "v", 0).Err(); word == "" && err != nil || word != "" && (err == nil || !strings.Contains(err.Error(), word)) {
			t.Fatalf("%v, want %q", err, word)
		}
	}
	do := func(line string) {
		t.Helper()
		if code, text := send("POST", "/fault", line); code != 200 {
			t.Fatalf("%q: %d %s", line, code, text)
		}
	}
	do("full 1h")
	fails("OOM")
	s.Full(false)
	do("readonly 1h")
	fails("READONLY")
	s.ReadOnly(false)
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
	if n := c.DBSize(ctx).Val(); n != 0 {
		t.Fatal(n)
	}
	do("lag 1h")
	fails("")
	do("failover")
	for end := time.Now().Add(10 * time.Second); s.Clients() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	fails("READONLY") // it is a replica now
	if _, text := send("GET", "/records", ""); !strings.Contains(text, `"Fault":"fail"`) {
		t.Fatal(text)
	}
}
