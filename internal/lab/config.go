package lab

import (
	"context"
	"fmt"
	"io"
	"time"

	"hitchspring/internal/lab/scenario"
)

// Bounds of a run, so that every load is bounded in count and time.
const (
	maxInFlight = 3000 // attemptCount of all clients that are out at once
	maxAttempts = 500000
	// firstInstanceHost is the host of the first instance in the run's network; nodes have those before it.
	firstInstanceHost = 221
)

// DefaultScenario is the scenario of a run that names none.
const DefaultScenario = "evening"

// Config says what is run. Zero fields leave the day's figures as they are.
type Config struct {
	Scenario          string // a name, or a file
	Seed              uint64
	For               time.Duration // slowness the load
	Backends          int
	Ingresses         int
	Store             string
	Faults            []string // TARGET:WHAT at TIME, beside the day's
	Rate              float64  // burstFactor the day's load
	HotQuotaFactor    float64  // one channel of storby asks for so many times its quota; 0: none does
	Ingress           string   // the program; empty: it is built from this module's source
	Race              bool     // it is built with the race detector
	Programs          []string // programs that the ingresses are in turn, in place of Ingress
	MemoryMB          int
	Tolerance         time.Duration                   // slowness the rules' time limits; 0: the platform's 50 ms
	Zones             bool                            // the ingresses know of halls: [halls] is in their options
	ZoneLines         string                          // further lines of that section
	HTTPShare         float64                         // share of the wishes that come through gates, which ask over HTTPShare
	GateFaultRules    []string                        // rules for all gates, from the start
	Linked            bool                            // every way of an instance goes through a link that can be faulted
	Peers             bool                            // the instances take part among each other: [peers] is in their options; Linked too
	ReuseKey          bool                            // a client's further tries of a keyed wish have the key of the first
	Takeover          bool                            // work in hand survives its instance: [takeover] is in their options; Peers too
	WrongKeyInstances []int                           // instances with another key than their peers have
	MayExit           []int                           // instances that may end by themselves: for tests of programs that do
	Escrow            bool                            // parts of budgets move between the instances: [rights] is in their options; Peers too
	Options           map[int]string                  // further lines of an instance's options
	Watch             func(context.Context, *Testbed) // runs beside the load, and is waited for; nil: nothing does
	Live              io.Writer                       // a table each second; nil: none
	Log               io.Writer                       // what the ingresses log; nil: nobody
}

// resolve is the day that is played: the named one, changed by what else is set.
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
		return nil, fmt.Errorf("http: %v is no share, 0 to 1", c.HTTPShare)
	}
	if c.HotQuotaFactor > 0 {
		resolved.HotTenants = append(resolved.HotTenants, scenario.HotTenants{Plan: "storby", Tenants: 1, QuotaFactor: c.HotQuotaFactor})
	}
	return resolved, resolved.Validate()
}
