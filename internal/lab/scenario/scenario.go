// Package day is the lab's days: what is asked, what goes wrong and what a run must have exercised to prove anything. In:
// a TOML file, or the name of one that comes with the program. Out: a Day whose every word has been checked. It starts
// nothing and knows no process and no socket.
package scenario

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"hitchspring/internal/rulecheck"
)

//go:embed days/*.toml
var scenarioFiles embed.FS

// Bounds of a day.
const (
	MaxLength    = 10 * time.Minute
	MaxBackends  = 60
	MaxIngresses = 24
	MaxLoad      = 2.0
)

// The kinds of store.
const (
	StoreTally    = "tally"
	StoreRedis    = "redis"
	StoreSentinel = "redis-sentinel" // a primary and a replica, found by a Sentinel
)

// Duration is a time.Duration that is written as Go writes one.
type Duration time.Duration

// UnmarshalText is for the decoder.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is no duration", b)
	}
	*d = Duration(v)
	return nil
}

// Hot is channels that ask for far more than their quota.
type HotTenants struct {
	Plan        string  `toml:"plan"`
	Tenants     int     `toml:"channels"`
	QuotaFactor float64 `toml:"times"` // their quota
	// Where On is set, they ask for so much only in bursts of that length, with Off between two: then for hardly anything,
	// so that what may be used at once is there in full when the next begins.
	On  Duration `toml:"on"`
	Off Duration `toml:"off"`
}

// Must is what a run has to have exercised: at least so many facts near each rule's edge. Zero asks for nothing.
type Required struct {
	Refused        int      `toml:"refused"`
	Tight          int      `toml:"tight"`
	Repeats        int      `toml:"repeats"`
	Withheld       int      `toml:"held_back"`
	Drains         int      `toml:"drains"`
	SlowStartSends int      `toml:"cold_sends"`
	SlowStartPush  float64  `toml:"cold_push"`   // of what lets a cold node fall, 0 to 1
	Ceiling        *float64 `toml:"ceiling"`     // how near one came, as a share of its store: -0.1 is within a tenth
	CeilingFor     int      `toml:"ceiling_for"` // channels that came within a tenth
}

// Loss says which halls are lost, from when and until when, for the figures of a loss: what was served against what what was
// left could have done.
type ZoneLoss struct {
	Zones []string `toml:"halls"`
	From  Duration `toml:"from"`
	To    Duration `toml:"to"`
}

// Day says what a run plays.
type Scenario struct {
	Name           string       `toml:"-"`
	About          string       `toml:"about"`
	Length         Duration     `toml:"length"` // of the load
	Backends       int          `toml:"nodes"`
	Ingresses      int          `toml:"ingresses"`
	Store          string       `toml:"store"`
	Load           float64      `toml:"load"`   // asked inside quotas, as a share of what the fleet can do
	UnevenRouting  bool         `toml:"uneven"` // channels come by ways that are uneven and move every 5 s
	UnsafeClass    bool         `toml:"unsafe"` // a class more, which may not be repeated
	HalvedCeilings int          `toml:"cut"`    // so many channels of storby have half the ceiling
	WarmedBy       int          `toml:"warm_by"`
	Hot            []HotTenants `toml:"hot"`
	Faults         []string     `toml:"faults"` // TARGET:WHAT at TIME
	RandomFaults   int          `toml:"random"` // faults drawn by the seed, on top
	// MostBeyond is the most that may be passed on beyond quotas, as a share of what is passed on inside. 0: any.
	MaxBeyond float64   `toml:"most_beyond"`
	Required  Required  `toml:"must"`
	Loss      *ZoneLoss `toml:"loss"`
}

// Names lists the days that come with the program.
func Names() []string {
	entries, err := scenarioFiles.ReadDir("days")
	if err != nil {
		panic(err) // they are part of the program
	}
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return out
}

// Load returns a day by its name or from a file, checked.
func Load(name string) (*Scenario, error) {
	if slices.Contains(Names(), name) {
		text, err := scenarioFiles.ReadFile(path.Join("days", name+".toml"))
		if err != nil {
			return nil, err
		}
		return Parse(name, text)
	}
	if !strings.ContainsAny(name, "./") {
		return nil, fmt.Errorf("day %q: there is none of this name (%s), and no file", name, strings.Join(Names(), ", "))
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	return Parse(strings.TrimSuffix(path.Base(name), ".toml"), text)
}

// Parse reads a day's text; an unknown key, a figure out of range or a fault that cannot be played is one clear error.
func Parse(name string, text []byte) (*Scenario, error) {
	d := &Scenario{Name: name}
	if err := Decode("day "+name, text, d); err != nil {
		return nil, err
	}
	d.SetDefaults()
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return d, nil
}

// Decode reads a TOML text strictly; what it is goes before each error, with the line.
func Decode(what string, text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		row, _ := strict.Errors[0].Position()
		return fmt.Errorf("%s, line %d: unknown key %q", what, row, strings.Join(strict.Errors[0].Key(), "."))
	case errors.As(err, &decode):
		row, _ := decode.Position()
		return fmt.Errorf("%s, line %d: %s", what, row, strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", what, err)
}

// Fill gives what is not set its usual value.
func (d *Scenario) SetDefaults() {
	if d.Backends == 0 {
		d.Backends = 12
	}
	if d.Ingresses == 0 {
		d.Ingresses = 3
	}
	if d.Store == "" {
		d.Store = StoreTally
	}
	if d.Length == 0 {
		d.Length = Duration(10 * time.Second)
	}
	if d.Load == 0 {
		d.Load = 0.5
	}
}

// Check says what is wrong with the day, with the field and the value.
func (d *Scenario) Validate() error {
	bad := func(field string, format string, args ...any) error {
		return fmt.Errorf("day %s: %s: %s", d.Name, field, fmt.Sprintf(format, args...))
	}
	switch {
	case d.Length < 0 || time.Duration(d.Length) > MaxLength:
		return bad("length", "%v is out of range, up to %v", time.Duration(d.Length), MaxLength)
	case d.Backends < 3 || d.Backends > MaxBackends:
		return bad("nodes", "%d is out of range, 3 to %d", d.Backends, MaxBackends)
	case d.Ingresses < 1 || d.Ingresses > MaxIngresses:
		return bad("ingresses", "%d is out of range, 1 to %d", d.Ingresses, MaxIngresses)
	case !(d.Load > 0 && d.Load <= MaxLoad):
		return bad("load", "%v is out of range, above 0 and up to %v", d.Load, MaxLoad)
	case !slices.Contains([]string{StoreTally, StoreRedis, StoreSentinel}, d.Store):
		return bad("store", "%q is none, want %s, %s or %s", d.Store, StoreTally, StoreRedis, StoreSentinel)
	case d.HalvedCeilings < 0 || d.HalvedCeilings > 7:
		return bad("cut", "%d is out of range, 0 to 7", d.HalvedCeilings)
	case d.RandomFaults < 0 || d.RandomFaults > 100:
		return bad("random", "%d is out of range, 0 to 100", d.RandomFaults)
	case d.WarmedBy < 0:
		return bad("warm_by", "%d is below 0", d.WarmedBy)
	case !(d.MaxBeyond >= 0):
		return bad("most_beyond", "%v is below 0", d.MaxBeyond)
	}
	if l := d.Loss; l != nil {
		if l.From < 0 || l.To <= l.From || l.To > d.Length {
			return bad("loss", "from %v to %v: want a span within %v", time.Duration(l.From), time.Duration(l.To), time.Duration(d.Length))
		}
		for _, h := range l.Zones {
			if !slices.Contains([]string{"a", "b", "c"}, h) {
				return bad("loss.halls", "%q is none of a, b, c", h)
			}
		}
	}
	for i, h := range d.Hot {
		if !(h.QuotaFactor >= 0 && h.QuotaFactor <= 10) || h.Tenants < 0 || h.Plan == "" {
			return bad(fmt.Sprintf("hot[%d]", i), "plan %q, channels %d, times %v: want a plan, and up to 10 times", h.Plan, h.Tenants, h.QuotaFactor)
		}
		if h.On < 0 || h.Off < 0 || (h.On == 0) != (h.Off == 0) {
			return bad(fmt.Sprintf("hot[%d]", i), "on %v, off %v: want both or neither", time.Duration(h.On), time.Duration(h.Off))
		}
	}
	_, err := d.Steps(1)
	return err
}

// Steps are the day's faults in their order, those drawn by the seed among them.
func (d *Scenario) Steps(seed uint64) ([]Step, error) {
	list := slices.Concat(d.Faults, d.drawFaults(seed))
	var out []Step
	for _, text := range list {
		s, err := ParseStep(text)
		if err == nil {
			err = s.validateFor(d)
		}
		if err != nil {
			return nil, fmt.Errorf("day %s: fault %q: %w", d.Name, text, err)
		}
		out = append(out, s)
	}
	slices.SortStableFunc(out, func(a, b Step) int { return int(a.At - b.At) })
	return out, nil
}

// draw makes faults from the seed: all that the days know, at any time but the last tenth.
func (d *Scenario) drawFaults(seed uint64) (out []string) {
	rng := rand.New(rand.NewPCG(seed, 23))
	within := time.Duration(float64(d.Length) * 0.85)
	node := func() int { return rng.IntN(d.Backends) }
	span := func(least, most time.Duration) time.Duration {
		return (least + time.Duration(rng.Float64()*float64(most-least))).Round(time.Millisecond)
	}
	hall := func() string { return string(rune('a' + rng.IntN(3))) }
	kinds := []func() string{
		func() string {
			return fmt.Sprintf("node/%d:slow %.1f %v", node(), 2.2+6.1*rng.Float64(), span(2*time.Second, 6*time.Second))
		},
		func() string {
			return fmt.Sprintf("node/%d:pause %v", node(), span(200*time.Millisecond, 900*time.Millisecond))
		},
		func() string {
			return fmt.Sprintf("node/%d:neighbour %.2f 1s 700ms %v", node(), 0.37+0.34*rng.Float64(), span(3*time.Second, 8*time.Second))
		},
		func() string { return fmt.Sprintf("node/%d:drain", node()) },
		func() string { return fmt.Sprintf("node/%d:restart", node()) },
		func() string { return fmt.Sprintf("node/%d:drop-after for 2s share 0.1", node()) },
		func() string { return fmt.Sprintf("node/%d:drop-before for 2s share 0.1", node()) },
		func() string { return fmt.Sprintf("node/%d:fail for 2s share 0.1", node()) },
		func() string {
			return fmt.Sprintf("node/%d:cut %d %v", node(), rng.IntN(d.Ingresses), span(500*time.Millisecond, 2*time.Second))
		},
		func() string {
			return fmt.Sprintf("fleet:slow %.1f %v", 1.4+1.6*rng.Float64(), span(time.Second, 4*time.Second))
		},
		func() string { return fmt.Sprintf("hall/%s:slow 5 %v", hall(), span(time.Second, 3*time.Second)) },
		func() string {
			return fmt.Sprintf("ingress/%d:restart %v", rng.IntN(d.Ingresses), span(200*time.Millisecond, 2*time.Second))
		},
		func() string {
			return fmt.Sprintf("discovery/%d:mute %v", rng.IntN(d.Ingresses), span(500*time.Millisecond, 3*time.Second))
		},
		func() string { return fmt.Sprintf("store:stop %v", span(200*time.Millisecond, 2*time.Second)) },
		func() string { return fmt.Sprintf("store:restart %v", span(100*time.Millisecond, time.Second)) },
	}
	for range d.RandomFaults {
		out = append(out, fmt.Sprintf("%s at %v", kinds[rng.IntN(len(kinds))](), span(500*time.Millisecond, within)))
	}
	return out
}

// Unmet says what a run ought to have exercised and did not; empty: it proves what the day is for.
func (r Required) Unmet(e rulecheck.Margins) (out []string) {
	count := func(name string, got, want int) {
		if got < want {
			out = append(out, fmt.Sprintf("%s: %d, the day wants %d", name, got, want))
		}
	}
	count("tries refused", e.Refused, r.Refused)
	count("answers just before the client gave up", e.Tight, r.Tight)
	count("repeats that were allowed", e.Repeats, r.Repeats)
	count("attempts that may have run and were not repeated", e.Withheld, r.Withheld)
	count("drains that outlasted their grace", e.Drains, r.Drains)
	count("sends to cold nodes", e.SlowStartSends, r.SlowStartSends)
	count("channels within a tenth of their ceiling", e.CeilingFor, r.CeilingFor)
	if e.SlowStartPush < r.SlowStartPush {
		out = append(out, fmt.Sprintf("the most that a cold node was pushed: %.2f of the edge, the day wants %.2f", e.SlowStartPush, r.SlowStartPush))
	}
	if r.Ceiling != nil && e.Ceiling < *r.Ceiling {
		out = append(out, fmt.Sprintf("nearest to a ceiling: %+.0f%%, the day wants %+.0f%%", 100*e.Ceiling, 100**r.Ceiling))
	}
	return out
}

// Text is a day that comes with the program, as it is written.
func Text(name string) (string, error) {
	if !slices.Contains(Names(), name) {
		return "", fmt.Errorf("day %q: there is none of this name (%s)", name, strings.Join(Names(), ", "))
	}
	text, err := scenarioFiles.ReadFile(path.Join("days", name+".toml"))
	return string(text), err
}
