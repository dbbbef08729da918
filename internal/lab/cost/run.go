package cost

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"
)

// A measurement is void if the sendDelayQuantile of the load's own send delays exceeds maxSendDelayMS, because the
// machine was too busy to generate the load on time.
const (
	sendDelayQuantile = 0.9
	maxSendDelayMS    = 5
)

// Measurement is the result of one build at one rate in one round. Latencies are in milliseconds. CPU time and context
// switches are those of the whole process, divided by the number of requests.
type Measurement struct {
	Build string `json:"build"`
	Rate  int    `json:"rate"`
	Round int    `json:"round"`

	Sent       int `json:"sent"`
	Served     int `json:"served"`
	Rejected   int `json:"refused"`
	Failed     int `json:"failed"`
	Mismatched int `json:"answers_of_another_request"`

	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p99_9_ms"`

	CPU               float64 `json:"cpu_us_a_request"`
	Switches          float64 `json:"voluntary_switches_a_request"`
	PeakMB            float64 `json:"peak_mb"` // since the process started
	ConnectionsOpened int     `json:"connections_opened"`
	Handshakes        float64 `json:"handshakes_a_request"` // excluding those of the warm-up
	LoadDelay         float64 `json:"load_late_p99_ms"`     // from when requests were due to when they were sent

	Void string `json:"void,omitempty"` // why the measurement can't be used; empty if it can
}

// Run measures all builds at all rates, round by round. If each is not nil, it is called after every measurement. If
// a measurement fails, Run returns the error with the report so far.
func Run(ctx context.Context, c Config, each func(Measurement)) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	if err := c.checkPrograms(); err != nil {
		return nil, err
	}
	r := &Report{Config: c}
	for round := range c.Repeats {
		done, err := measureRound(ctx, &c, round, each)
		r.Measurements = append(r.Measurements, done...)
		if err != nil {
			return r, err
		}
	}
	return r, nil
}

// checkPrograms returns an error that names the first build whose program does not exist, so that a run fails before
// it starts anything.
func (c *Config) checkPrograms() error {
	for _, b := range c.Builds {
		if _, err := exec.LookPath(b.Program); err != nil {
			return fmt.Errorf("build %s, program %s: %w", b.Name, b.Program, err)
		}
	}
	return nil
}

func measureRound(ctx context.Context, c *Config, round int, each func(Measurement)) (out []Measurement, err error) {
	for _, slot := range c.slots(round) {
		m, err := measureSlot(ctx, c, slot)
		if err != nil {
			return out, err
		}
		out = append(out, m)
		if each != nil {
			each(m)
		}
	}
	return out, nil
}

// measureSlot starts new stand-ins and a new process, applies the load for the warm-up, and measures the process.
func measureSlot(ctx context.Context, c *Config, slot measurementSlot) (m Measurement, err error) {
	m = Measurement{Build: slot.build.Name, Rate: slot.rate, Round: slot.round}
	dir, err := os.MkdirTemp("", "lab-cost-")
	if err != nil {
		return m, err
	}
	defer os.RemoveAll(dir)
	b, err := startBackends(c, slot.build, uint64(slot.round+1))
	if err != nil {
		return m, err
	}
	defer b.close()
	process, err := startTarget(ctx, c, slot.build, b, dir)
	if err != nil {
		return m, err
	}
	defer process.stop()
	l, err := dialLoad(process.addr.Addr(), c.Connections, wallClock{time.Now()})
	if err != nil {
		return m, err
	}
	defer l.close()
	if _, err := l.runPhase(ctx, newSchedule(slot.rate, c.WarmUp)); err != nil {
		return m, err
	}
	opened := b.acceptedConnections()
	before, err := readProcessUsage(process.Pid())
	if err != nil {
		return m, err
	}
	result, err := l.runPhase(ctx, newSchedule(slot.rate, c.Length))
	if err != nil {
		return m, err
	}
	after, err := readProcessUsage(process.Pid())
	if err != nil {
		return m, fmt.Errorf("build %s: %w: %s", slot.build.Name, err, process.LastLine())
	}
	m.ConnectionsOpened = b.acceptedConnections()
	m.Handshakes = perRequest(m.ConnectionsOpened-opened, result.sent)
	m.recordUsage(before, after, result.sent)
	m.recordOutcomes(result)
	return m, nil
}

func perRequest(sum, requests int) float64 { return float64(sum) / float64(max(1, requests)) }

// recordUsage sets CPU, Switches and PeakMB from the process's usage before and after the measurement.
func (m *Measurement) recordUsage(before, after processUsage, requests int) {
	m.CPU = float64((after.cpu - before.cpu).Nanoseconds()) / 1000 / float64(max(1, requests))
	m.Switches = perRequest(int(after.contextSwitches-before.contextSwitches), requests)
	m.PeakMB = float64(after.peakKB) / 1024
}

// recordOutcomes sets the counts and latencies. If any request was rejected or failed, the measurement is void, because
// its latencies and CPU time are not only those of served requests.
func (m *Measurement) recordOutcomes(o *outcomes) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m.Sent, m.Served, m.Rejected, m.Failed, m.Mismatched = o.sent, o.served, o.rejected, o.failed, o.mismatched
	m.P50 = o.latencies.QuantileMS(0.5)
	m.P90 = o.latencies.QuantileMS(0.9)
	m.P99 = o.latencies.QuantileMS(0.99)
	m.P999 = o.latencies.QuantileMS(0.999)
	m.LoadDelay = o.sendDelays.QuantileMS(0.99)
	var reasons []string
	if m.Sent == 0 {
		reasons = append(reasons, "nothing was sent")
	}
	if m.Rejected > 0 {
		reasons = append(reasons, fmt.Sprintf("%d refused", m.Rejected))
	}
	if m.Failed > 0 {
		reasons = append(reasons, fmt.Sprintf("%d failed", m.Failed))
	}
	if late := o.sendDelays.QuantileMS(sendDelayQuantile); late > maxSendDelayMS {
		reasons = append(reasons, fmt.Sprintf("the load was late itself, a tenth of it by %.1f ms or more", late))
	}
	m.Void = strings.Join(reasons, ", ")
}
