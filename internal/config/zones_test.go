package config

import (
	"reflect"
	"testing"
	"time"
)

// An empty [halls] section is valid and gets the defaults; far_price defaults to at least near_price.
func TestZoneDefaults(t *testing.T) {
	o, err := parse("x.toml", []byte("[halls]\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := &Zones{
		NearPrice:            2,
		FarPrice:             3,
		Overprovision:        1.4,
		Panic:                0.3,
		MaxRampDuration:      Duration(4 * time.Second),
		RampFrom:             0.3,
		CautionDecayInterval: Duration(time.Minute),
	}
	if !reflect.DeepEqual(o.Zones, want) {
		t.Fatalf("got %+v, want %+v", o.Zones, want)
	}
	o, err = parse("x.toml", []byte("[halls]\nnear_price = 4\n"))
	if err != nil {
		t.Fatal(err)
	}
	if o.Zones.FarPrice != 4 {
		t.Errorf("far_price beside near_price 4: got %v, want 4", o.Zones.FarPrice)
	}
}

// Each invalid value in [halls] is rejected with a one-line error that names the key.
func TestBadZones(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"near_price = 0.5", "x.toml:2: halls.near_price: 0.5 is out of range"},
		{"near_price = 2.0\nfar_price = 1.5", "x.toml:3: halls.far_price: 1.5 is below near_price 2"},
		{"overprovision = 0.9", "halls.overprovision: 0.9"},
		{"panic = 1.5", "halls.panic: 1.5"},
		{"panic = nan", "halls.panic: NaN is out of range"},
		{"ramp = \"1ms\"", "halls.ramp: 1ms is out of range"},
		{"ramp_from = -1", "halls.ramp_from: -1"},
		{"forget = \"1000h\"", "halls.forget: 1000h0m0s"},
		{"near = [\"\"]", "halls.near"},
		{"nearby = []", "x.toml:2: halls.nearby: no such key"},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := parse("x.toml", []byte("[halls]\n"+test.text))
			requireOneLine(t, err, test.want)
		})
	}
}
