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
	Ramp          Duration `toml:"ramp,omitempty"`          // of a hall that comes back, at the most
	RampFrom      float64  `toml:"ramp_from,omitempty"`     // share of its rate with which it begins
	Forget        Duration `toml:"forget,omitempty"`        // of calm, after which one loss is forgotten
	Drains        string   `toml:"drills,omitempty"`        // file of the halls that are taken out on purpose
}

// check fills in the defaults and says what is wrong.
func (h *Zones) check() (faults []fault) {
	wrong := func(key, format string, args ...any) {
		faults = append(faults, fault{"halls." + key, fmt.Sprintf(format, args...)})
	}
	if slices.Contains(h.Near, "") {
		wrong("near", "%q: a hall without a name", h.Near)
	}
	number := func(key string, v *float64, usual, least, most float64) {
		if *v == 0 {
			*v = usual
		}
		if !(*v >= least && *v <= most) {
			wrong(key, "%v is out of range, %v to %v", *v, least, most)
		}
	}
	number("near_price", &h.NearPrice, zones.DefaultNearPrice, 1, 100)
	number("far_price", &h.FarPrice, max(zones.DefaultFarPrice, h.NearPrice), 1, 100)
	if h.FarPrice < h.NearPrice {
		wrong("far_price", "%v is below near_price %v", h.FarPrice, h.NearPrice)
	}
	number("overprovision", &h.Overprovision, zones.DefaultOverprovision, 1, 10)
	number("panic", &h.Panic, zones.DefaultPanic, 0.01, 1)
	number("ramp_from", &h.RampFrom, zones.DefaultRampFrom, 0.01, 1)
	span := func(key string, v *Duration, usual, least, most time.Duration) {
		if *v == 0 {
			*v = Duration(usual)
		}
		if d := time.Duration(*v); d < least || d > most {
			wrong(key, "%v is out of range, %v to %v", d, least, most)
		}
	}
	span("ramp", &h.Ramp, zones.DefaultRamp, time.Second, 10*time.Minute)
	span("forget", &h.Forget, zones.DefaultForget, time.Second, 24*time.Hour)
	return faults
}
