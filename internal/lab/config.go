package lab

import (
	"context"
	"fmt"
	"io"
	"time"

	"hitchspring/internal/lab/scenario"
)

// Limits of a run, which bound every load.
const (
	maxInFlight = 3000 // client attempts in flight
	maxAttempts = 500000
	// firstInstanceHost is the last byte of the first instance's address; backends have the addresses below it.
	firstInstanceHost = 221
)

// DefaultScenario is the scenario of a run whose Config names none.
const DefaultScenario = "evening"

// Config configures a run. Fields that are zero keep the values of the scenario.
type Config struct {
	Scenario          string // name, or path of a scenario file
	Seed              uint64
	For               time.Duration // duration of the load
	Backends          int
	Ingresses         int
	Store             string
	Faults            []string // TARGET:ACTION at TIME, in addition to the scenario's
	Rate              float64  // factor on the scenario's load
	HotQuotaFactor    float64  // demand of one tenant of plan storby, relative to its quota; 0: no such tenant
	Ingress           string   // path of the ingress program; empty: built from the source of this module
	Race              bool     // build with the race detector
	Programs          []string // ingress programs that the instances run in turn, instead of Ingress
	MemoryMB          int
	Tolerance         time.Duration                   // of the time limits of the rules; 0: 50 ms, as on the platform
	Zones             bool                            // adds [halls] to the options of the instances
	ZoneLines         string                          // further lines of [halls]
	HTTPShare         float64                         // fraction of requests sent through gates
	GateFaultRules    []string                        // fault rules of all gates, in force from the start
	Linked            bool                            // routes all connections through links that inject faults
	Peers             bool                            // adds [peers] to the options of the instances; implies Linked
	ReuseKey          bool                            // retries reuse the idempotency key of the first attempt
	Takeover          bool                            // adds [takeover] to the options; implies Peers, ReuseKey
	WrongKeyInstances []int                           // instances whose peer key differs from that of their peers
	MayExit           []int                           // instances whose process may exit by itself, for tests
	Escrow            bool                            // adds [rights] to the options of the instances; implies Peers
	Options           map[int]string                  // further lines of the options, by instance
	Watch             func(context.Context, *Testbed) // runs during the load; the run waits for its return; may be nil
	Live              io.Writer                       // destination of a progress line each second; may be nil
	Log               io.Writer                       // destination of the logs of the instances; may be nil
}

// resolve sets defaults, loads the scenario, and applies the overrides of c to it.
func (c *Config) resolve() (*scenario.Scenario, error) {
	if c.Scenario == "" {
		c.Scenario = DefaultScenario
	}
	if c.Rate == 0 {
		c.Rate = 1
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = 64
	}
	resolved, err := scenario.Load(c.Scenario)
	if err != nil {
		return nil, err
	}
	if c.For != 0 {
		resolved.Length = scenario.Duration(c.For)
	}
	if c.Backends != 0 {
		resolved.Backends = c.Backends
	}
	if c.Ingresses != 0 {
		resolved.Ingresses = c.Ingresses
	}
	if c.Store != "" {
		resolved.Store = c.Store
	}
	c.Peers, c.ReuseKey = c.Peers || c.Takeover || c.Escrow, c.ReuseKey || c.Takeover
	c.Linked = c.Linked || c.Peers
	resolved.Faults = append(resolved.Faults, c.Faults...)
	if !(c.HotQuotaFactor >= 0 && c.HotQuotaFactor <= 10) {
		return nil, fmt.Errorf("hot: %v is out of range, up to 10", c.HotQuotaFactor)
	}
	if !(c.Rate > 0 && c.Rate <= 4) {
		return nil, fmt.Errorf("rate: %v is out of range, up to 4", c.Rate)
	}
	if !(c.HTTPShare >= 0 && c.HTTPShare <= 1) {
		return nil, fmt.Errorf("http: %v is out of range, 0 to 1", c.HTTPShare)
	}
	if c.HotQuotaFactor > 0 {
		resolved.HotTenants = append(resolved.HotTenants, scenario.HotTenants{Plan: "storby", Tenants: 1, QuotaFactor: c.HotQuotaFactor})
	}
	return resolved, resolved.Validate()
}
