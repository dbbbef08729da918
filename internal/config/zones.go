package config

import (
	"slices"
	"time"

	"hitchspring/internal/zones"
)

// Zones says how requests are kept in the instance's own zone, and where they go when a zone is lost. Absent: another
// zone costs a fixed factor, and no zone has a state.
type Zones struct {
	Near          []string `toml:"near,omitempty"`          // zones of the second locality priority; others: the third
	NearPrice     float64  `toml:"near_price,omitempty"`    // of a backend in a near zone, relative to the own zone
	FarPrice      float64  `toml:"far_price,omitempty"`     // of a backend in any other zone, relative to the own zone
	Overprovision float64  `toml:"overprovision,omitempty"` // a zone keeps its load down to 1/Overprovision capacity
	Panic         float64  `toml:"panic,omitempty"`         // share of all capacity below which no zone is preferred
	MaxRamp       Duration `toml:"ramp,omitempty"`          // longest recovery ramp of a zone
	RampFrom      float64  `toml:"ramp_from,omitempty"`     // share of the rate at which a recovery ramp begins
	ForgetAfter   Duration `toml:"forget,omitempty"`        // time without a loss after which one is forgotten
	Drains        string   `toml:"drills,omitempty"`        // path of the zone drain file; empty: there is none
}

// validate fills in the defaults and returns what is wrong.
func (z *Zones) validate() []fieldError {
	const (
		minRatio, maxPrice, maxOverprovision = 1.0, 100.0, 10.0
		minShare, maxShare                   = 0.01, 1.0
		minSpan                              = Duration(time.Second)
		maxRamp                              = Duration(10 * time.Minute)
		maxForgetAfter                       = Duration(24 * time.Hour)
	)
	s := section{name: "halls"}
	if slices.Contains(z.Near, "") {
		s.reject("near", "%q: a hall without a name", z.Near)
	}
	setDefault(&s, "near_price", &z.NearPrice, zones.DefaultNearPrice, minRatio, maxPrice)
	setDefault(&s, "far_price", &z.FarPrice, max(zones.DefaultFarPrice, z.NearPrice), minRatio, maxPrice)
	if z.FarPrice < z.NearPrice {
		s.reject("far_price", "%v is below near_price %v", z.FarPrice, z.NearPrice)
	}
	setDefault(&s, "overprovision", &z.Overprovision, zones.DefaultOverprovision, minRatio, maxOverprovision)
	setDefault(&s, "panic", &z.Panic, zones.DefaultPanic, minShare, maxShare)
	setDefault(&s, "ramp_from", &z.RampFrom, zones.DefaultRampFrom, minShare, maxShare)
	setDefault(&s, "ramp", &z.MaxRamp, Duration(zones.DefaultRamp), minSpan, maxRamp)
	setDefault(&s, "forget", &z.ForgetAfter, Duration(zones.DefaultForget), minSpan, maxForgetAfter)
	return s.errs
}
