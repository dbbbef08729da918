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

// quotaBounds cuts instances off from the counter while a tenant requests five times its quota. It compares the
// units that each instance forwards, as the backends recorded them, with the bound that the instance stated just
// before the disconnection, and measures the overrun. The baseline runs without escrow.
var quotaBounds = &definition{
	description: "instances that do not hear the counter: what each passes on beside what it stated before, " +
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
	// boundReadLead is how long before the disconnection the stated bounds are read.
	boundReadLead = 40 * time.Millisecond
	// boundInterval is the interval at which the instances' bounds are polled.
	boundInterval = 500 * time.Millisecond
	// normalOverrun is how far a tenant may exceed its ceiling without any fault, as a fraction of the ceiling's
	// burst.
	normalOverrun = 0.1
	// inFlightUnits is the maximum number of units in flight at an instance when it stated its bound.
	inFlightUnits = 6.0
	// strictPlan is the plan whose tenants must stay within their quota. Other plans allow use beyond it.
	strictPlan = "storby"
	// quotaClass is the request class whose fraction of answers in time the table shows.
	quotaClass = "clip-publish"
)

// disconnectedInstances returns the instances that the named case cuts off from the counter.
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

// disconnection describes the faults of a case.
type disconnection struct {
	instances []int        // those cut off from the counter
	restarted map[int]bool // those that restart, which invalidates the bound that they stated
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

// statedBounds collects the bounds and modes that the instances report during a run. After the run, its fields are
// read without mu.
type statedBounds struct {
	mu         sync.Mutex                       // guards the fields below
	byInstance map[int]map[string]overrun.Bound // by instance and tenant, read just before the disconnection
	statedAt   map[int]time.Duration            // when each instance's bounds were read
	modes      map[overrun.Mode]int             // how often each mode was reported
}

func newStatedBounds() *statedBounds {
	return &statedBounds{
		byInstance: map[int]map[string]overrun.Bound{},
		statedAt:   map[int]time.Duration{},
		modes:      map[overrun.Mode]int{},
	}
}

// watch polls the bounds of all instances until the run ends.
func (s *statedBounds) watch(ctx context.Context, testbed *lab.Testbed) {
	for at := boundInterval; ; at += boundInterval {
		beforeCut := at == disconnectAt
		readAt := at
		if beforeCut {
			readAt -= boundReadLead
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
	r.dropQuotaViolations() // checkOverrun compares the overrun with the stated bounds instead
	r.checkForwarded(report, cut, stated)
	r.checkOverrun(report, cut, stated)
	r.checkModes(cut, stated.modes)
	r.Metrics["service"] = report.Service
	r.Metrics["clips"] = inTimeFraction(report, quotaClass)
	return r, nil
}

// checkForwarded checks that no disconnected instance forwarded more for a tenant than the bound that it stated.
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

// forwardedUnits sums the units that an instance forwarded for a tenant within disconnectDuration after from.
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

// checkOverrun checks that each tenant's overrun is at most the sum of the overruns that the disconnected instances
// stated, plus the overrun that is normal without faults.
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

// checkModes checks that an instance reports that it is disconnected if and only if the case cuts one off.
func (r *Result) checkModes(cut disconnection, modes map[overrun.Mode]int) {
	disconnected := modes[overrun.Disconnected] + modes[overrun.NeverAnswered]
	r.Metrics["looks_alone"] = float64(disconnected)
	r.Metrics["looks"] = float64(modes[overrun.Normal] + modes[overrun.Late] + disconnected)
	if len(cut.instances) > 0 && disconnected == 0 {
		r.violate("no instance said that it was alone")
	}
	if len(cut.instances) == 0 && modes[overrun.Disconnected] > 0 {
		r.violate("an instance said that it was alone, and nothing had happened")
	}
}

// inTimeFraction returns the fraction of a class's requests that were answered within the latency objective.
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

func quotaBoundsTable(out io.Writer, results []Result) {
	fmt.Fprintf(out, "\n%-26s  %-6s  %-7s  %-8s  %-22s  %-16s  %-36s  %s\n",
		"case", "rights", "service", "clips", "passed on, stated", "tightest, worst",
		"overdrawn, % of the ceiling's store", "stated, % of it")
	for _, name := range quotaBoundCases {
		for _, on := range []bool{false, true} {
			values := func(metric string) []float64 { return metricValues(results, metric, ofCase(name, on)) }
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
