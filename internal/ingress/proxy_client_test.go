package ingress

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// proxyClient is a reverse proxy's HTTP client of the forward-auth front.
type proxyClient struct {
	t       *testing.T
	baseURL string
	client  *http.Client
}

func newProxyClient(t *testing.T, instance *Instance) *proxyClient {
	transport := &http.Transport{MaxIdleConnsPerHost: 500}
	t.Cleanup(transport.CloseIdleConnections)
	return &proxyClient{
		t:       t,
		baseURL: "http://" + instance.AuthAddr().String(),
		client:  &http.Client{Transport: transport, Timeout: 30 * time.Second},
	}
}

// proxyAnswer is the HTTP answer to a call or a report.
type proxyAnswer struct {
	status                  int
	lease, backend          string
	startWithin, endsWithin time.Duration
	body                    string
}

func (c *proxyClient) authorize(id string, more ...string) (proxyAnswer, error) {
	req, err := http.NewRequest("GET", c.baseURL+"/x", nil)
	if err != nil {
		return proxyAnswer{}, err
	}
	h := req.Header
	for k, v := range map[string]string{"Class": "read", "Plan": "p", "Channel": "3e9", "Id": id, "Key": "k"} {
		h.Set("X-Hitch-"+k, v)
	}
	for i := 0; i+1 < len(more); i += 2 {
		h.Set("X-Hitch-"+more[i], more[i+1])
	}
	return c.do(req)
}

func (c *proxyClient) do(req *http.Request) (proxyAnswer, error) {
	resp, err := c.client.Do(req)
	if err != nil {
		return proxyAnswer{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return proxyAnswer{}, err
	}
	ms := func(k string) time.Duration {
		n, _ := strconv.Atoi(resp.Header.Get("X-Hitch-" + k))
		return time.Duration(n) * time.Millisecond
	}
	return proxyAnswer{
		status:      resp.StatusCode,
		lease:       resp.Header.Get("X-Hitch-Lease"),
		backend:     resp.Header.Get("X-Hitch-Node-Id"),
		startWithin: ms("Start-Within-Ms"),
		endsWithin:  ms("Ends-Within-Ms"),
		body:        string(b),
	}, nil
}

func (c *proxyClient) requireStatus(id string, status int, more ...string) proxyAnswer {
	c.t.Helper()
	a, err := c.authorize(id, more...)
	if err != nil || a.status != status {
		c.t.Fatalf("%s: %+v, %v, want %d", id, a, err, status)
	}
	return a
}

// reportAnswer is the body of the answer to a report.
type reportAnswer struct {
	Status int
	State  string
	Next   map[string]string
}

func (c *proxyClient) report(lease, outcome string) reportAnswer {
	c.t.Helper()
	body := strings.NewReader(fmt.Sprintf(`{"outcome":%q}`, outcome))
	req, err := http.NewRequest("POST", c.baseURL+"/v1/attempts/"+lease, body)
	if err != nil {
		c.t.Fatal(err)
	}
	a, err := c.do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	out := reportAnswer{Status: a.status}
	_ = json.Unmarshal([]byte(a.body), &out) // the body of an error has other fields
	return out
}
