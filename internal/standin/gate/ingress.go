package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"hitchspring/internal/standin/fault"
)

const (
	headerPrefix  = "X-Hitch"
	reportTimeout = 2 * time.Second
	maxBodyLength = 1 << 16 // maximum bytes read of a response body of the ingress
)

// grant is the ingress's permission for one attempt at a backend.
type grant struct {
	lease   string
	addr    string
	startBy time.Time // latest time at which the attempt may be sent
}

// parseGrant reads a grant from the headers of a response. It reports false if the backend or the lease is missing.
func parseGrant(get func(name string) string, receivedAt time.Time) (granted grant, ok bool) {
	ms, _ := strconv.ParseInt(get(headerPrefix+"-Start-Within-Ms"), 10, 64) // 0 if invalid or missing
	granted = grant{
		lease:   get(headerPrefix + "-Lease"),
		addr:    get(headerPrefix + "-Node"),
		startBy: receivedAt.Add(time.Duration(ms) * time.Millisecond),
	}
	return granted, granted.lease != "" && granted.addr != ""
}

// requestGrant requests a grant for a request. If done is false, the ingress has granted an attempt; otherwise result
// is final.
func (g *Gate) requestGrant(ctx context.Context, request Request, result *Result) (granted grant, done bool) {
	result.Kind = outcomeFailed
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.baseURL+"/check", nil)
	if err != nil {
		return grant{}, true
	}
	left := request.Wait
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	setHeaders(req.Header, request, left)
	resp, err := g.client.Do(req)
	if err != nil {
		return grant{}, true
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyLength)) // so that the connection can be reused
	switch resp.StatusCode {
	case http.StatusOK:
		granted, ok := parseGrant(resp.Header.Get, time.Now())
		return granted, !ok
	case http.StatusTooManyRequests:
		result.Kind = outcomeRefused
		ms, _ := strconv.ParseInt(resp.Header.Get(headerPrefix+"-Retry-After-Ms"), 10, 64) // 0 if invalid or missing
		result.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return grant{}, true
}

// setHeaders sets the headers that describe a request to the ingress. left is the time until the client's deadline.
func setHeaders(header http.Header, request Request, left time.Duration) {
	header.Set("X-Forwarded-Method", "POST")
	header.Set("X-Forwarded-Uri", "/channels/"+request.Channel+"/"+request.Class)
	for name, value := range map[string]string{
		"Id":          request.ID,
		"Channel":     request.Channel,
		"Class":       request.Class,
		"Plan":        request.Plan,
		"Key":         request.Key,
		"Units":       strconv.FormatFloat(request.Units, 'g', -1, 64),
		"Set":         fmt.Sprintf("%d/%d", request.Spread, request.First),
		"Deadline-Ms": strconv.FormatInt(max(1, left.Milliseconds()), 10),
	} {
		if value != "" {
			header.Set(headerPrefix+"-"+name, value)
		}
	}
}

// report reports the outcome of an attempt to the ingress, as modified by the fault rule. If ok is true, the ingress
// has granted another attempt.
func (g *Gate) report(ctx context.Context, lease, outcome string, rule fault.Rule) (next grant, ok bool) {
	switch rule.Kind {
	case fault.Swallow:
		return grant{}, false
	case fault.Late:
		g.wg.Go(func() {
			sleep(g.ctx, rule.DelayTime)
			if g.ctx.Err() == nil {
				g.postReport(g.ctx, lease, outcome)
			}
		})
		return grant{}, false
	case fault.Repeat:
		next, ok = g.postReport(ctx, lease, outcome)
		g.postReport(ctx, lease, outcome)
		return next, ok
	default: // the other kinds do not affect reports
		return g.postReport(context.WithoutCancel(ctx), lease, outcome)
	}
}

// postReport sends a report once. If ok is true, the response contains another grant.
func (g *Gate) postReport(ctx context.Context, lease, outcome string) (next grant, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	body, err := json.Marshal(struct {
		Outcome string `json:"outcome"`
	}{outcome})
	if err != nil {
		return grant{}, false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.baseURL+"/v1/attempts/"+lease, bytes.NewReader(body))
	if err != nil {
		return grant{}, false
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return grant{}, false
	}
	defer resp.Body.Close()
	var answer struct{ Next map[string]string }
	receivedAt := time.Now()
	if json.NewDecoder(io.LimitReader(resp.Body, maxBodyLength)).Decode(&answer) != nil || len(answer.Next) == 0 {
		return grant{}, false
	}
	get := func(name string) string { return answer.Next[http.CanonicalHeaderKey(name)] }
	return parseGrant(get, receivedAt)
}
