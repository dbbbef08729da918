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
	mostOpen  = 3000 // tries of all clients that are out at once
	mostTries = 500000
	// firstInstance is the host of the first instance in the run's network; nodes have those before it.
	firstInstance = 221
)

// DefaultScenario is the scenario of a run that names none.
const DefaultScenario = "evening"

// Config says what is run. Zero fields leave the day's figures as they are.
type Config struct {
	Scenario  string // a name, or a file
	Seed      uint64
	For       time.Duration // of the load
	Backends  int
	Ingresses int
	Store     string
	Faults    []string // TARGET:WHAT at TIME, beside the day's
	Rate      float64  // times the day's load
	Hot       float64  // one channel of storby asks for so many times its quota; 0: none does
	Ingress   string   // the program; empty: it is built from this module's source
	Race      bool     // it is built with the race detector
	Mixed     []string // programs that the ingresses are in turn, in place of Ingress
	MemoryMB  int
	Tolerance time.Duration                   // of the rules' time limits; 0: the platform's 50 ms
	Zones     bool                            // the ingresses know of halls: [halls] is in their options
	ZoneLines string                          // further lines of that section
	HTTP      float64                         // share of the wishes that come through gates, which ask over HTTP
	GateFault []string                        // rules for all gates, from the start
	Linked    bool                            // every way of an instance goes through a link that can be faulted
	Peers     bool                            // the instances take part among each other: [peers] is in their options; Linked too
	SameKey   bool                            // a client's further tries of a keyed wish have the key of the first
	Takeover  bool                            // work in hand survives its instance: [takeover] is in their options; Peers too
	Strangers []int                           // instances with another key than their peers have
	Mortal    []int                           // instances that may end by themselves: for tests of programs that do
	Escrow    bool                            // parts of budgets move between the instances: [rights] is in their options; Peers too
	Options   map[int]string                  // further lines of an instance's options
	Watch     func(context.Context, *Testbed) // runs beside the load, and is waited for; nil: nothing does
	Live      io.Writer                       // a table each second; nil: none
	Log       io.Writer                       // what the ingresses log; nil: nobody
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
	d, err := scenario.Load(c.Scenario)
	if err != nil {
		return nil, err
	}
	if c.For != 0 {
		d.Length = scenario.Duration(c.For)
	}
	if c.Backends != 0 {
		d.Backends = c.Backends
	}
	if c.Ingresses != 0 {
		d.Ingresses = c.Ingresses
	}
	if c.Store != "" {
		d.Store = c.Store
	}
	c.Peers, c.SameKey = c.Peers || c.Takeover || c.Escrow, c.SameKey || c.Takeover
	c.Linked = c.Linked || c.Peers
	d.Faults = append(d.Faults, c.Faults...)
	if !(c.Hot >= 0 && c.Hot <= 10) {
		return nil, fmt.Errorf("hot: %v is out of range, up to 10", c.Hot)
	}
	if !(c.Rate > 0 && c.Rate <= 4) {
		return nil, fmt.Errorf("rate: %v is out of range, up to 4", c.Rate)
	}
	if !(c.HTTP >= 0 && c.HTTP <= 1) {
		return nil, fmt.Errorf("http: %v is no share, 0 to 1", c.HTTP)
	}
	if c.Hot > 0 {
		d.HotTenants = append(d.HotTenants, scenario.HotTenants{Plan: "storby", Tenants: 1, QuotaFactor: c.Hot})
	}
	return d, d.Validate()
}
