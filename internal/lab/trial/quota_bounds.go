package trial

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"hitchspring/internal/lab"
	"hitchspring/internal/overrun"
)

// quotaBounds cuts instances off from the counter while a tenant requests five times its quota. It compares
// what each instance forwards, by the backends' records, with the bound that the instance stated before, and
// measures the overrun.
var quotaBounds = &definition{
	about: "instances that do not hear the counter: what each passes on beside what it stated before, " +
		"and the overrun",
	cases:        quotaBoundCases,
	instances:    []int{3},
	withBaseline: true,
	run:          runQuotaBounds,
	table:        quotaBoundsTable,
}

var quotaBoundCases = []string{
	"no fault",
	"nobody hears",
	"one does not hear",
	"all but one",
	"never heard",
	"peers cut",
	"one hears nothing",
	"one restarts, nobody hears",
	"one stops, nobody hears",
	"all restart, nobody hears",
	"clocks off, one deaf",
}

const (
	disconnectAt       = 4 * time.Second
	disconnectDuration = 8 * time.Second
	rejoinDuration     = 5 * time.Second
	// boundLead is how long before the disconnection the bounds are read.
	boundLead = 40 * time.Millisecond
	// boundInterval is the time between two readings of the bounds.
	boundInterval = 500 * time.Millisecond
	// normalOverrun is the platform's slack: how far a tenant may be overdrawn without any fault, as a fraction
	// of its ceiling's burst.
	normalOverrun = 0.1
	// inFlightUnits bounds the units in flight when an instance stated its bound.
	inFlightUnits = 6.0
	// strictPlan is the plan whose tenants may not exceed their quota. Those of other plans may, by contract.
	strictPlan = "storby"
	// quotaClass is the class of request whose timeliness the table shows.
	quotaClass = "clip-publish"
)

// disconnectedInstances returns the instances that a case cuts off from the counter.
func disconnectedInstances(name string, instances int) (out []int) {
	for i := range instances {
		if isDisconnected(name, i) {
			out = append(out, i)
		}
	}
	return out
}

func isDisconnected(name string, instance int) bool {
	switch name {
	case "never heard":
		return true
	case "one does not hear", "one hears nothing", "clocks off, one deaf":
		return instance == 0
	case "all but one":
		return instance > 0
	}
	return strings.HasSuffix(name, "nobody hears")
}

// disconnection is what a case does to the instances.
type disconnection struct {
	instances []int        // those that don't hear the counter
	restarted map[int]bool // those that start anew, so that their earlier bound no longer holds
	faults    []string
}

func newDisconnection(c Cell) disconnection {
	d := disconnection{instances: disconnectedInstances(c.Case, c.Instances), restarted: map[int]bool{}}
	cutAt := disconnectAt
	if c.Case == "never heard" {
		cutAt = 0
	}
	for _, i := range d.instances {
		d.addFault("link/%d|counter:cut %v at %v", i, disconnectAt+disconnectDuration-cutAt, cutAt)
	}
	switch c.Case {
	case "peers cut", "one hears nothing":
		d.addFault("link/0|1,2:cut %v at %v", disconnectDuration, disconnectAt)
	case "one restarts, nobody hears":
		d.restart(0, disconnectAt+2*time.Second)
	case "one stops, nobody hears":
		d.addFault("ingress/0:pause 3s at %v", disconnectAt+2*time.Second)
	case "all restart, nobody hears":
		for i := range c.Instances {
			d.restart(i, disconnectAt+time.Duration(1+i)*time.Second)
		}
	}
	return d
}

func (d *disconnection) addFault(format string, args ...any) {
	d.faults = append(d.faults, fmt.Sprintf(format, args...))
}

func (d *disconnection) restart(instance int, at time.Duration) {
	d.addFault("ingress/%d:restart 300ms at %v", instance, at)
	d.restarted[instance] = true
}

// statedBounds collects what the instances state while a run lasts. Its fields are read without mu after the run.
type statedBounds struct {
	mu         sync.Mutex                       // guards the fields below
	byInstance map[int]map[string]overrun.Bound // by tenant, as stated just before the disconnection
	statedAt   map[int]time.Duration
	modes      map[overrun.Mode]int // how often each mode was seen
}

func newStatedBounds() *statedBounds {
	return &statedBounds{
		byInstance: map[int]map[string]overrun.Bound{},
		statedAt:   map[int]time.Duration{},
		modes:      map[overrun.Mode]int{},
	}
}

// watch reads the bounds of all instances until the run ends.
func (s *statedBounds) watch(ctx context.Context, testbed *lab.Testbed) {
	for at := boundInterval; ; at += boundInterval {
		beforeCut := at == disconnectAt
		readAt := at
		if beforeCut {
			readAt -= boundLead
		}
		if !testbed.WaitUntil(ctx, readAt) {
			return
		}
		for i := range testbed.Instances() {
			bounds, err := testbed.QuotaBounds(ctx, i, disconnectDuration)
			if err != nil {
				continue
			}
			s.countModes(bounds)
			if beforeCut {
				s.record(i, testbed.Now(), bounds)
			}
		}
	}
}

func (s *statedBounds) countModes(bounds []overrun.Bound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, bound := range bounds {
		if bound.Plan == strictPlan {
			s.modes[bound.Mode]++
		}
	}
}

func (s *statedBounds) record(instance int, now time.Duration, bounds []overrun.Bound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statedAt[instance] = now
	s.byInstance[instance] = map[string]overrun.Bound{}
	for _, bound := range bounds {
		s.byInstance[instance][bound.Tenant] = bound
	}
}

func runQuotaBounds(ctx context.Context, c Cell, program string) (Result, error) {
	r := Result{Metrics: map[string]float64{}}
	cut := newDisconnection(c)
	stated := newStatedBounds()
	cfg := lab.Config{
		Scenario:       "calm",
		Seed:           c.Seed,
		For:            disconnectAt + disconnectDuration + rejoinDuration,
		Ingresses:      c.Instances,
		Backends:       24,
		HotQuotaFactor: 5,
		Ingress:        program,
		Tolerance:      tolerance,
		Linked:         true,
		Peers:          true,
		Escrow:         c.On,
		Faults:         cut.faults,
		Watch:          stated.watch,
	}
	if c.Case == "clocks off, one deaf" {
		cfg.Options = map[int]string{1: "[clock]\nahead = \"3s\"\n", 2: "[clock]\nrate = 1.08\n"}
	}
	report, err := lab.Run(ctx, cfg)
	if err != nil {
		return r, err
	}
	r.addReport(report)
	r.dropQuotaViolations() // this trial measures the overrun itself
	r.checkForwarded(report, cut, stated)
	r.checkOverrun(report, cut, stated)
	r.checkModes(cut, stated.modes)
	r.Metrics["service"] = report.Service
	r.Metrics["clips"] = inTimeFraction(report, quotaClass)
	return r, nil
}

// checkForwarded compares what each disconnected instance forwarded for each tenant with the bound that it had
// stated.
func (r *Result) checkForwarded(report *lab.Report, cut disconnection, stated *statedBounds) {
	for _, i := range cut.instances {
		if cut.restarted[i] {
			continue
		}
		for tenant, bound := range stated.byInstance[i] {
			if bound.Mode == overrun.PerRequest || bound.Plan != strictPlan {
				continue
			}
			forwarded := forwardedUnits(report, i, tenant, stated.statedAt[i])
			r.Metrics["passed"] += forwarded
			r.Metrics["stated"] += bound.MaxSpend
			r.Metrics["tightest"] = max(r.Metrics["tightest"], forwarded/max(1, bound.MaxSpend))
			if forwarded > bound.MaxSpend+inFlightUnits {
				r.violate("n%d passed on %.1f units of %s in %v, and had stated %.1f (%v)",
					i, forwarded, tenant, disconnectDuration, bound.MaxSpend, bound.Mode)
			}
		}
	}
}

// forwardedUnits sums the units that an instance forwarded for a tenant until the bound expired.
func forwardedUnits(report *lab.Report, instance int, tenant string, from time.Duration) (sum float64) {
	for _, pass := range report.Forwarded {
		if pass.Instance != instance || pass.Tenant != tenant {
			continue
		}
		if pass.ArrivedAt >= from && pass.ArrivedAt < from+disconnectDuration {
			sum += pass.Units
		}
	}
	return sum
}

// checkOverrun compares how far each tenant was overdrawn with the sum of what the disconnected instances had
// stated.
func (r *Result) checkOverrun(report *lab.Report, cut disconnection, stated *statedBounds) {
	for _, channel := range report.Tenants {
		if channel.Plan != strictPlan {
			continue
		}
		r.Metrics["overdrawn"] = max(r.Metrics["overdrawn"], 100*channel.OverrunOfCeiling)
		bound, complete := 0.0, len(cut.instances) > 0
		for _, i := range cut.instances {
			statement, found := stated.byInstance[i][channel.Tenant]
			bound += statement.Overrun
			complete = complete && found && !cut.restarted[i]
		}
		if channel.OverrunOfCeiling <= 0 || !complete {
			continue
		}
		burst := channel.Overrun / channel.OverrunOfCeiling
		r.Metrics["bound"] = max(r.Metrics["bound"], 100*bound/burst)
		bound += normalOverrun * burst
		if channel.Overrun > bound+inFlightUnits*float64(len(cut.instances)) {
			r.violate("%s is overdrawn by %.1f units, and %.1f were stated", channel.Tenant, channel.Overrun, bound)
		}
	}
}

// checkModes checks that instances state to be disconnected where the case cuts one off, and only there.
func (r *Result) checkModes(cut disconnection, modes map[overrun.Mode]int) {
	alone := modes[overrun.Disconnected] + modes[overrun.NeverAnswered]
	r.Metrics["looks_alone"] = float64(alone)
	r.Metrics["looks"] = float64(modes[overrun.Normal] + modes[overrun.Late] + alone)
	if len(cut.instances) > 0 && alone == 0 {
		r.violate("no instance said that it was alone")
	}
	if len(cut.instances) == 0 && modes[overrun.Disconnected] > 0 {
		r.violate("an instance said that it was alone, and nothing had happened")
	}
}

// inTimeFraction returns the fraction of a class's requests that were answered in time.
func inTimeFraction(report *lab.Report, class string) float64 {
	requests, inTime := 0, 0
	for _, row := range report.Rows {
		if row.Class == class {
			requests += row.Requests
			inTime += row.InTime
		}
	}
	return float64(inTime) / float64(max(1, requests))
}

func quotaBoundsTable(out io.Writer, all []Result) {
	fmt.Fprintf(out, "\n%-26s  %-6s  %-7s  %-8s  %-22s  %-16s  %-36s  %s\n",
		"case", "rights", "service", "clips", "passed on, stated", "tightest, worst",
		"overdrawn, % of the ceiling's store", "stated, % of it")
	for _, name := range quotaBoundCases {
		for _, on := range []bool{false, true} {
			values := func(metric string) []float64 { return metricValues(all, metric, ofCase(name, on)) }
			if len(values("service")) == 0 {
				continue
			}
			overdrawn := values("overdrawn")
			fmt.Fprintf(out, "%-26s  %-6v  %.3f    %.3f     %8.0f, %8.0f    %.2f              "+
				"%.1f mean, %.1f worst                %.0f\n",
				name, on, mean(values("service")), mean(values("clips")),
				mean(values("passed")), mean(values("stated")), quantile(values("tightest"), 1),
				mean(overdrawn), quantile(overdrawn, 1), mean(values("bound")))
		}
	}
}
