package cost

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"
)

// A measurement is void if the load sent a tenth of its requests later than maxLateMS: the machine was too busy.
const (
	lateQuantile = 0.9
	maxLateMS    = 5
)

// Measurement is one build at one rate in one round. Times are in milliseconds; CPU and context switches a
// request are those of the whole process.
type Measurement struct {
	Build string `json:"build"`
	Rate  int    `json:"rate"`
	Round int    `json:"round"`

	Sent     int `json:"sent"`
	Served   int `json:"served"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
	Foreign  int `json:"answers_of_another_request"`

	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p99_9_ms"`

	CPU        float64 `json:"cpu_us_a_request"`
	Switches   float64 `json:"voluntary_switches_a_request"`
	PeakMB     float64 `json:"peak_mb"` // since the process started
	Opened     int     `json:"connections_opened"`
	Handshakes float64 `json:"handshakes_a_request"` // during the measurement, without the warm-up
	LoadLate   float64 `json:"load_late_p99_ms"`     // delay of the load's own sends

	Void string `json:"void,omitempty"` // why the measurement can't be used; empty if it can
}

// Run measures all builds at all rates, round by round. It calls each, if not nil, after each measurement. If a
// measurement fails, it returns the error with the report so far.
func Run(ctx context.Context, c Config, each func(Measurement)) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	if err := c.findPrograms(); err != nil {
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

// findPrograms returns an error that names the first build whose program is not there, before anything is started.
func (c *Config) findPrograms() error {
	for _, b := range c.Builds {
		if _, err := exec.LookPath(b.Program); err != nil {
			return fmt.Errorf("build %s, program %s: %w", b.Name, b.Program, err)
		}
	}
	return nil
}

func measureRound(ctx context.Context, c *Config, round int, each func(Measurement)) (out []Measurement, err error) {
	for _, t := range c.turns(round) {
		m, err := measureTurn(ctx, c, t)
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

// measureTurn starts fresh stand-ins and a fresh process, warms it, and measures it.
func measureTurn(ctx context.Context, c *Config, t turn) (m Measurement, err error) {
	m = Measurement{Build: t.build.Name, Rate: t.rate, Round: t.round}
	dir, err := os.MkdirTemp("", "lab-cost-")
	if err != nil {
		return m, err
	}
	defer os.RemoveAll(dir)
	b, err := startBackends(c, t.build, uint64(t.round+1))
	if err != nil {
		return m, err
	}
	defer b.close()
	process, err := startTarget(ctx, c, t.build, b, dir)
	if err != nil {
		return m, err
	}
	defer process.stop()
	l, err := dialLoad(process.addr.Addr(), c.Connections, wallClock{time.Now()})
	if err != nil {
		return m, err
	}
	defer l.close()
	if _, err := l.runPhase(ctx, newSchedule(t.rate, c.Warm)); err != nil {
		return m, err
	}
	opened := b.acceptedConnections()
	before, err := readProcessUsage(process.Pid())
	if err != nil {
		return m, err
	}
	ended, err := l.runPhase(ctx, newSchedule(t.rate, c.Length))
	if err != nil {
		return m, err
	}
	after, err := readProcessUsage(process.Pid())
	if err != nil {
		return m, fmt.Errorf("build %s: %w: %s", t.build.Name, err, process.LastLine())
	}
	m.Opened = b.acceptedConnections()
	m.Handshakes = perRequest(m.Opened-opened, ended.sent)
	m.recordUsage(before, after, ended.sent)
	m.recordOutcomes(ended)
	return m, nil
}

func perRequest(sum, requests int) float64 { return float64(sum) / float64(max(1, requests)) }

// recordUsage fills in what the process used between two readings.
func (m *Measurement) recordUsage(before, after processUsage, requests int) {
	m.CPU = float64((after.cpu - before.cpu).Nanoseconds()) / 1000 / float64(max(1, requests))
	m.Switches = perRequest(int(after.switches-before.switches), requests)
	m.PeakMB = float64(after.peakKB) / 1024
}

// recordOutcomes fills in how the requests ended. If any was rejected or failed, the measurement is void: latencies and
// CPU would not be those of served requests.
func (m *Measurement) recordOutcomes(t *outcomes) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m.Sent, m.Served, m.Rejected, m.Failed, m.Foreign = t.sent, t.served, t.rejected, t.failed, t.foreign
	m.P50 = t.latencies.QuantileMS(0.5)
	m.P90 = t.latencies.QuantileMS(0.9)
	m.P99 = t.latencies.QuantileMS(0.99)
	m.P999 = t.latencies.QuantileMS(0.999)
	m.LoadLate = t.sendDelays.QuantileMS(0.99)
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
	if late := t.sendDelays.QuantileMS(lateQuantile); late > maxLateMS {
		reasons = append(reasons, fmt.Sprintf("the load was late itself, a tenth of it by %.1f ms or more", late))
	}
	m.Void = strings.Join(reasons, ", ")
}
