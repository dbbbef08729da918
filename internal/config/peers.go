package config

import (
	"net/netip"
	"slices"

	"hitchspring/internal/peers"
)

// maxPeerNameBytes is the maximum length of the name of an instance.
const maxPeerNameBytes = 64

// Peers configures the peer group in which this instance exchanges gossip. If the section is absent, it joins none.
type Peers struct {
	Name      string            `toml:"name,omitempty"`       // unique name of this instance; default: Advertise
	Listen    string            `toml:"listen"`               // UDP address, IP:port
	Advertise string            `toml:"advertise,omitempty"`  // IP:port at which peers reach it; default: Listen
	Seeds     []string          `toml:"seeds,omitempty"`      // advertised addresses of other instances
	SeedsFile string            `toml:"seeds_file,omitempty"` // alternative to Seeds, one per line; reloaded on change
	KeyFile   string            `toml:"key_file"`             // one or two keys, the first encrypts; reloaded on change
	Dial      map[string]string `toml:"dial,omitempty"`       // by advertised address: the address to dial instead
}

// validate fills in the defaults and returns the errors of the section, including errors from reading its files.
func (p *Peers) validate() []fieldError {
	s := section{name: "peers"}
	s.validateAddrPort("listen", p.Listen)
	if p.Advertise == "" {
		p.Advertise = p.Listen
	}
	s.validateAddrPort("advertise", p.Advertise)
	if at, err := netip.ParseAddrPort(p.Advertise); err == nil && at.Addr().IsUnspecified() {
		s.reject("advertise", "%q: others can't reach an instance there", p.Advertise)
	}
	if p.Name == "" {
		p.Name = p.Advertise
	}
	if len(p.Name) > maxPeerNameBytes {
		s.reject("name", "%q has %d letters, %d at most", p.Name, len(p.Name), maxPeerNameBytes)
	}
	p.validateSeeds(&s)
	for advertised, dialed := range p.Dial {
		s.validateAddrPort("dial", advertised)
		s.validateAddrPort("dial", dialed)
	}
	if _, err := peers.ReadKeys(p.KeyFile); err != nil {
		s.reject("key_file", "%w", err)
	}
	return s.errs
}

// validateSeeds checks that the seeds are set in either Seeds or SeedsFile, and that Seeds contain an instance other
// than this one.
func (p *Peers) validateSeeds(s *section) {
	isOther := func(seed string) bool { return seed != p.Advertise }
	switch {
	case p.SeedsFile != "" && len(p.Seeds) > 0:
		s.reject("seeds_file", "%q, and seeds are named too: one of them is wanted", p.SeedsFile)
	case p.SeedsFile != "":
		if _, err := peers.ReadSeeds(p.SeedsFile); err != nil {
			s.reject("seeds_file", "%w", err)
		}
	case len(p.Seeds) == 0:
		s.reject("seeds", "there are none: an instance without seeds would find nobody")
	case !slices.ContainsFunc(p.Seeds, isOther):
		s.reject("seeds", "%q: that is this instance itself, and there is no other", p.Seeds)
	}
	for _, seed := range p.Seeds {
		s.validateAddrPort("seeds", seed)
	}
}

// validateAddrPort adds an error unless an address is IP:port with a port other than 0.
func (s *section) validateAddrPort(key, address string) {
	if at, err := netip.ParseAddrPort(address); err != nil || at.Port() == 0 {
		s.reject(key, "%q is no IP address and port", address)
	}
}
