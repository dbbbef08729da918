// Package scenario holds the scenarios of the lab: the load of a run, the faults that are injected, and what the run
// must exercise to prove anything. Its input is a TOML file, or the name of a scenario that is part of the program.
// Its output is a Scenario whose keys and faults have been validated. It starts no process and opens no connection.
package scenario

import (
	"embed"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"
	"time"
)

//go:embed days/*.toml
var scenarioFiles embed.FS

// scenarioDir is the directory of the scenarios in scenarioFiles.
const scenarioDir = "days"

// The kinds of quota store.
const (
	StoreTally    = "tally"
	StoreRedis    = "redis"
	StoreSentinel = "redis-sentinel" // a primary and a replica, found by a Sentinel
)

// HotTenants is a group of tenants that request far more than their quota.
type HotTenants struct {
	Plan        string  `toml:"plan"`
	Tenants     int     `toml:"channels"`
	QuotaFactor float64 `toml:"times"` // load as a multiple of the quota
	// On and Off, if set, are the lengths of load bursts and of the pauses between them. The tenants request almost
	// nothing in a pause, so that their quota allows a full burst again when the next one begins.
	On  Duration `toml:"on"`
	Off Duration `toml:"off"`
}

// ZoneLoss is the loss of zones for a span of time. The report compares what was served in that span with what the
// remaining zones could have served.
type ZoneLoss struct {
	Zones []string `toml:"halls"`
	From  Duration `toml:"from"`
	To    Duration `toml:"to"`
}

// Scenario describes a run.
type Scenario struct {
	Name           string       `toml:"-"`
	About          string       `toml:"about"`
	Length         Duration     `toml:"length"` // of the load
	Backends       int          `toml:"nodes"`
	Ingresses      int          `toml:"ingresses"`
	Store          string       `toml:"store"`   // StoreTally, StoreRedis or StoreSentinel
	Load           float64      `toml:"load"`    // load within the quotas, as a fraction of the fleet's capacity
	UnevenRouting  bool         `toml:"uneven"`  // tenants are spread unevenly over the ingresses, changing every 5 s
	UnsafeClass    bool         `toml:"unsafe"`  // adds a class whose requests may not be repeated
	HalvedCeilings int          `toml:"cut"`     // number of tenants of the plan storby whose ceiling is halved
	WarmedBy       int          `toml:"warm_by"` // requests after which a backend has warmed up
	HotTenants     []HotTenants `toml:"hot"`
	Faults         []string     `toml:"faults"` // each TARGET:WHAT at TIME, see ParseStep
	RandomFaults   int          `toml:"random"` // number of faults drawn from the seed, besides Faults
	// MaxBeyondQuota is the maximum load forwarded beyond quotas, as a fraction of that forwarded within quotas. 0: no
	// maximum.
	MaxBeyondQuota float64   `toml:"most_beyond"`
	Required       Required  `toml:"must"`
	Loss           *ZoneLoss `toml:"loss"` // nil: no zone is lost
}

// Names returns the names of the scenarios that are part of the program.
func Names() []string {
	entries, err := scenarioFiles.ReadDir(scenarioDir)
	if err != nil {
		panic(err) // the files are embedded
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".toml"))
	}
	return names
}

// Text returns the TOML text of a scenario that is part of the program.
func Text(name string) (string, error) {
	if !slices.Contains(Names(), name) {
		return "", fmt.Errorf("day %q: there is none of this name (%s)", name, strings.Join(Names(), ", "))
	}
	text, err := scenarioFiles.ReadFile(path.Join(scenarioDir, name+".toml"))
	return string(text), err
}

// Load returns the scenario of a name, or the one in the file of that path. It is validated.
func Load(name string) (*Scenario, error) {
	if slices.Contains(Names(), name) {
		text, err := Text(name)
		if err != nil {
			return nil, err
		}
		return Parse(name, []byte(text))
	}
	if !strings.ContainsAny(name, "./") {
		return nil, fmt.Errorf("day %q: there is none of this name (%s), and no file",
			name, strings.Join(Names(), ", "))
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("day: %w", err)
	}
	return Parse(strings.TrimSuffix(path.Base(name), ".toml"), text)
}

// Parse parses and validates the text of a scenario. An unknown key, a value out of range or an invalid fault is an
// error of one line.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{Name: name}
	if err := Decode("day "+name, text, s); err != nil {
		return nil, err
	}
	s.SetDefaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// Steps returns the faults of the scenario and those drawn from the seed, in order of time.
func (s *Scenario) Steps(seed uint64) ([]Step, error) {
	var steps []Step
	for _, text := range slices.Concat(s.Faults, s.drawFaults(seed)) {
		step, err := ParseStep(text)
		if err == nil {
			err = step.validateFor(s)
		}
		if err != nil {
			return nil, fmt.Errorf("day %s: fault %q: %w", s.Name, text, err)
		}
		steps = append(steps, step)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps, nil
}

// end returns the time at which the load ends.
func (s *Scenario) end() time.Duration { return time.Duration(s.Length) }
