package config

import (
	"fmt"
	"slices"
	"time"

	"hitchspring/internal/zones"
)

// Halls says how work is kept in the instance's own hall, and what becomes of it when a hall is lost. Absent: another hall
// costs a fixed factor, and nothing is known of halls.
type Zones struct {
	Near          []string `toml:"near,omitempty"`          // halls of the second tier; those in neither are the third
	NearPrice     float64  `toml:"near_price,omitempty"`    // of a node there, against one at home with the same load
	FarPrice      float64  `toml:"far_price,omitempty"`     // the same in the third tier
	Overprovision float64  `toml:"overprovision,omitempty"` // a hall keeps all its work down to 1/overprovision of its capacity
	Panic         float64  `toml:"panic,omitempty"`         // below this share of all capacity no hall is preferred
	MaxRamp          Duration `toml:"ramp,omitempty"`          // of a hall that comes back, at the most
	RampFrom      float64  `toml:"ramp_from,omitempty"`     // share of its rate with which it begins
	ForgetAfter        Duration `toml:"forget,omitempty"`        // of calm, after which one loss is forgotten
	Drains        string   `toml:"drills,omitempty"`        // file of the halls that are taken out on purpose
}

// check fills in the defaults and says what is wrong.
func (z *Zones) validate() (faults []fieldError) {
	wrong := func(key, format string, args ...any) {
		faults = append(faults, fieldError{"halls." + key, fmt.Sprintf(format, args...)})
	}
	if slices.Contains(z.Near, "") {
		wrong("near", "%q: a hall without a name", z.Near)
	}
	number := func(key string, v *float64, usual, least, most float64) {
		if *v == 0 {
			*v = usual
		}
		if !(*v >= least && *v <= most) {
			wrong(key, "%v is out of range, %v to %v", *v, least, most)
		}
	}
	number("near_price", &z.NearPrice, zones.DefaultNearPrice, 1, 100)
	number("far_price", &z.FarPrice, max(zones.DefaultFarPrice, z.NearPrice), 1, 100)
	if z.FarPrice < z.NearPrice {
		wrong("far_price", "%v is below near_price %v", z.FarPrice, z.NearPrice)
	}
	number("overprovision", &z.Overprovision, zones.DefaultOverprovision, 1, 10)
	number("panic", &z.Panic, zones.DefaultPanic, 0.01, 1)
	number("ramp_from", &z.RampFrom, zones.DefaultRampFrom, 0.01, 1)
	span := func(key string, v *Duration, usual, least, most time.Duration) {
		if *v == 0 {
			*v = Duration(usual)
		}
		if d := time.Duration(*v); d < least || d > most {
			wrong(key, "%v is out of range, %v to %v", d, least, most)
		}
	}
	span("ramp", &z.MaxRamp, zones.DefaultRamp, time.Second, 10*time.Minute)
	span("forget", &z.ForgetAfter, zones.DefaultForget, time.Second, 24*time.Hour)
	return faults
}
