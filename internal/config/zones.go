package config

import (
	"slices"
	"time"

	"hitchspring/internal/zones"
)

// Zones configures zone-aware routing: how strongly requests prefer the instance's own zone, and how they spill to
// other zones when a zone fails. If the section is absent, backends in other zones have a fixed higher price, and the
// state of zones is not tracked.
type Zones struct {
	Near      []string `toml:"near,omitempty"`       // zones of the second locality priority; others: the third
	NearPrice float64  `toml:"near_price,omitempty"` // price of a backend in a near zone; 1 in the own zone
	FarPrice  float64  `toml:"far_price,omitempty"`  // price of a backend in any other zone

	// Overprovision bounds the spill: a zone retains all its load while at least 1/Overprovision of its capacity is
	// available.
	Overprovision float64 `toml:"overprovision,omitempty"`
	// Panic is the share of available capacity below which panic mode begins: no zone is preferred or drained.
	Panic float64 `toml:"panic,omitempty"`
	// MaxRampDuration is the maximum length of the recovery ramp of a zone.
	MaxRampDuration Duration `toml:"ramp,omitempty"`
	// RampFrom is the share of the full rate with which a recovery ramp starts.
	RampFrom float64 `toml:"ramp_from,omitempty"`
	// CautionDecayInterval is the time that a zone is up before one caution step is taken back.
	CautionDecayInterval Duration `toml:"forget,omitempty"`
	// DrainFile is the path of the zone drain file; empty: no file.
	DrainFile string `toml:"drills,omitempty"`
}

// validate fills in the defaults and returns the errors of the section.
func (z *Zones) validate() []fieldError {
	const (
		minRatio, maxPrice, maxOverprovision = 1.0, 100.0, 10.0
		minShare, maxShare                   = 0.01, 1.0
		minSpan                              = Duration(time.Second)
		maxRamp                              = Duration(10 * time.Minute)
		maxCautionDecayInterval              = Duration(24 * time.Hour)
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
	setDefault(&s, "ramp", &z.MaxRampDuration, Duration(zones.DefaultMaxRampDuration), minSpan, maxRamp)
	setDefault(&s, "forget", &z.CautionDecayInterval, Duration(zones.DefaultCautionDecayInterval),
		minSpan, maxCautionDecayInterval)
	return s.errs
}
