package config

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"hitchspring/internal/peers"
)

// Peers says with which other instances this one shares what it sees. Absent: with none.
type Peers struct {
	Name      string            `toml:"name,omitempty"`       // of this instance, new to no other; absent: where others find it
	Listen    string            `toml:"listen"`               // UDP, IP:port
	Advertise string            `toml:"advertise,omitempty"`  // IP:port at which others find it; absent: listen
	Seeds     []string          `toml:"seeds,omitempty"`      // advertised addresses of some others
	SeedsFile string            `toml:"seeds_file,omitempty"` // in place of seeds: one on a line; read again when it changes
	KeyFile   string            `toml:"key_file"`             // one key or two, one on a line; the first seals; read again when it changes
	Dial      map[string]string `toml:"dial,omitempty"`       // what this instance dials for an advertised address, where that differs
}

// Clock says how wrong this process's clock is, for tests of what depends on clocks, and for nothing else.
type Clock struct {
	Offset Duration `toml:"ahead,omitempty"` // of the true time
	Rate  float64  `toml:"rate,omitempty"`  // seconds that pass on it in a true one
}

const maxPeerNameBytes = 64

// check fills in the defaults and says what is wrong.
func (p *Peers) validate() (faults []fieldError) {
	wrong := func(key, format string, args ...any) {
		faults = append(faults, fieldError{"peers." + key, fmt.Sprintf(format, args...)})
	}
	address := func(key, addr string) {
		if at, err := netip.ParseAddrPort(addr); err != nil || at.Port() == 0 {
			wrong(key, "%q is no IP address and port", addr)
		}
	}
	address("listen", p.Listen)
	if p.Advertise == "" {
		p.Advertise = p.Listen
	}
	address("advertise", p.Advertise)
	if at, err := netip.ParseAddrPort(p.Advertise); err == nil && at.Addr().IsUnspecified() {
		wrong("advertise", "%q: others can't reach an instance there", p.Advertise)
	}
	if p.Name == "" {
		p.Name = p.Advertise
	}
	if len(p.Name) > maxPeerNameBytes {
		wrong("name", "%q has %d letters, %d at most", p.Name, len(p.Name), maxPeerNameBytes)
	}
	switch {
	case p.SeedsFile != "" && len(p.Seeds) > 0:
		wrong("seeds_file", "%q, and seeds are named too: one of them is wanted", p.SeedsFile)
	case p.SeedsFile != "":
		if _, err := peers.ReadSeeds(p.SeedsFile); err != nil {
			wrong("seeds_file", "%v", err)
		}
	case len(p.Seeds) == 0:
		wrong("seeds", "there are none: an instance without seeds would find nobody")
	case !slices.ContainsFunc(p.Seeds, func(s string) bool { return s != p.Advertise }):
		wrong("seeds", "%q: that is this instance itself, and there is no other", p.Seeds)
	}
	for _, s := range p.Seeds {
		address("seeds", s)
	}
	for from, to := range p.Dial {
		address("dial", from)
		address("dial", to)
	}
	if _, err := peers.ReadKeys(p.KeyFile); err != nil {
		wrong("key_file", "%v", err)
	}
	return faults
}

// check says what is wrong.
func (c *Clock) validate() (faults []fieldError) {
	if d := time.Duration(c.Offset); d < -time.Hour || d > time.Hour {
		faults = append(faults, fieldError{"clock.ahead", fmt.Sprintf("%v is out of range, 1h either way", d)})
	}
	if c.Rate != 0 && !(c.Rate >= 0.5 && c.Rate <= 2) {
		faults = append(faults, fieldError{"clock.rate", fmt.Sprintf("%v is out of range, 0.5 to 2", c.Rate)})
	}
	return faults
}
