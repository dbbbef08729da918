package config

import (
	"strings"
	"testing"
	"time"
)

// A [halls] section needs no key; each bad one is named with its line and value.
func TestHalls(t *testing.T) {
	o, err := parse("x.toml", []byte("[halls]\n"))
	if err != nil {
		t.Fatal(err)
	}
	if h := o.Zones; h.NearPrice != 2 || h.FarPrice != 3 || h.Overprovision != 1.4 || time.Duration(h.MaxRamp) != 4*time.Second || h.Panic != 0.3 || h.RampFrom != 0.3 || time.Duration(h.ForgetAfter) != time.Minute {
		t.Fatalf("%+v", h)
	}
	if o, err = parse("x.toml", []byte("[halls]\nnear_price = 4\n")); err != nil || o.Zones.FarPrice != 4 {
		t.Fatal(o, err)
	}
	for text, want := range map[string]string{
		"near_price = 0.5":                  "x.toml:2: halls.near_price: 0.5 is out of range",
		"near_price = 2.0\nfar_price = 1.5": "x.toml:3: halls.far_price: 1.5 is below near_price 2",
		"overprovision = 0.9":               "halls.overprovision: 0.9",
		"panic = 1.5":                       "halls.panic: 1.5",
		"ramp = \"1ms\"":                    "halls.ramp: 1ms is out of range",
		"ramp_from = -1":                    "halls.ramp_from: -1",
		"forget = \"1000h\"":                "halls.forget: 1000h0m0s",
		"near = [\"\"]":                     "halls.near",
		"nearby = []":                       "x.toml:2: halls.nearby: no such key",
	} {
		if _, err := parse("x.toml", []byte("[halls]\n"+text)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", text, err)
		}
	}
}
