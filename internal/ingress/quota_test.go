package ingress

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"hitchspring/internal/overrun"
	"hitchspring/internal/standin/scripted"
	"hitchspring/policy"
)

// /budgets answers with the overrun bound of each quota. An invalid duration is
// answered with a one-line error that quotes it.
func TestQuotaBounds(t *testing.T) {
	list := endpointList(scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply }).Addr)
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Metrics = freeAddr(t)
	cfg.Settings.Plans = []policy.Plan{{Name: "p", Price: 1, Rate: 5, Burst: 9}}
	addr, _ := startInstance(t, cfg)
	nc, in := dial(t, addr)
	io.WriteString(nc, encodeRead(1, readFields))
	readLine(t, in)
	get := func(query string) (int, string) {
		resp, err := http.Get("http://" + cfg.Metrics + "/budgets" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	code, text := get("?for=10s")
	var all []overrun.Bound
	if err := json.Unmarshal([]byte(text), &all); code != 200 || err != nil || len(all) != 1 {
		t.Fatal(code, err, text)
	}
	bound := all[0]
	if bound.Tenant != "00000000b4d65521" || bound.Mode != overrun.NeverHeard ||
		bound.MaxSpend < 50 || bound.MaxSpend > 62 { // a burst of 9, of which 1 is spent, and 50 units in 10 s
		t.Errorf("%+v", bound)
	}
	for _, bad := range []string{"11h", "x", "-1s"} {
		code, text := get("?for=" + bad)
		if code != 400 || !strings.Contains(text, bad) || strings.Count(text, "\n") != 1 {
			t.Errorf("%s: %d %q", bad, code, text)
		}
	}
}
