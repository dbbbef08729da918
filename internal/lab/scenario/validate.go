package scenario

import (
	"fmt"
	"slices"
	"time"
)

// The bounds of a scenario.
const (
	MaxLength    = 10 * time.Minute
	MinBackends  = 3
	MaxBackends  = 60
	MaxIngresses = 24
	MaxLoad      = 2.0

	maxHalvedCeilings = 7
	maxRandomFaults   = 100
	maxQuotaFactor    = 10
)

// The defaults of a scenario.
const (
	defaultBackends  = 12
	defaultIngresses = 3
	defaultLength    = 10 * time.Second
	defaultLoad      = 0.5
)

// zoneNames are the zones of the testbed. The position of a zone is its Step.Index.
var zoneNames = []string{"a", "b", "c"}

// SetDefaults sets each unset field to its default.
func (s *Scenario) SetDefaults() {
	if s.Backends == 0 {
		s.Backends = defaultBackends
	}
	if s.Ingresses == 0 {
		s.Ingresses = defaultIngresses
	}
	if s.Store == "" {
		s.Store = StoreTally
	}
	if s.Length == 0 {
		s.Length = Duration(defaultLength)
	}
	if s.Load == 0 {
		s.Load = defaultLoad
	}
}

// fieldError returns an error that names the scenario and the field.
func (s *Scenario) fieldError(field, format string, args ...any) error {
	return fmt.Errorf("day %s: %s: %s", s.Name, field, fmt.Sprintf(format, args...))
}

// Validate returns an error that names the field and the value if the scenario cannot be run.
func (s *Scenario) Validate() error {
	if err := s.validateSize(); err != nil {
		return err
	}
	if err := s.validateLoss(); err != nil {
		return err
	}
	if err := s.validateHotTenants(); err != nil {
		return err
	}
	_, err := s.Steps(1)
	return err
}

// validateSize validates the fields that hold a single value. The conditions on floats are negated so that NaN is out
// of range.
func (s *Scenario) validateSize() error {
	switch {
	case s.Length < 0 || s.end() > MaxLength:
		return s.fieldError("length", "%v is out of range, up to %v", s.end(), MaxLength)
	case s.Backends < MinBackends || s.Backends > MaxBackends:
		return s.fieldError("nodes", "%d is out of range, %d to %d", s.Backends, MinBackends, MaxBackends)
	case s.Ingresses < 1 || s.Ingresses > MaxIngresses:
		return s.fieldError("ingresses", "%d is out of range, 1 to %d", s.Ingresses, MaxIngresses)
	case !(s.Load > 0 && s.Load <= MaxLoad):
		return s.fieldError("load", "%v is out of range, above 0 and up to %v", s.Load, MaxLoad)
	case !slices.Contains([]string{StoreTally, StoreRedis, StoreSentinel}, s.Store):
		return s.fieldError("store", "%q is none, want %s, %s or %s", s.Store, StoreTally, StoreRedis, StoreSentinel)
	case s.HalvedCeilings < 0 || s.HalvedCeilings > maxHalvedCeilings:
		return s.fieldError("cut", "%d is out of range, 0 to %d", s.HalvedCeilings, maxHalvedCeilings)
	case s.RandomFaults < 0 || s.RandomFaults > maxRandomFaults:
		return s.fieldError("random", "%d is out of range, 0 to %d", s.RandomFaults, maxRandomFaults)
	case s.WarmedBy < 0:
		return s.fieldError("warm_by", "%d is below 0", s.WarmedBy)
	case !(s.MaxBeyondQuota >= 0):
		return s.fieldError("most_beyond", "%v is below 0", s.MaxBeyondQuota)
	}
	return nil
}

// validateLoss validates the zones and the span of a loss.
func (s *Scenario) validateLoss() error {
	loss := s.Loss
	if loss == nil {
		return nil
	}
	if loss.From < 0 || loss.To <= loss.From || loss.To > s.Length {
		return s.fieldError("loss", "from %v to %v: want a span within %v",
			time.Duration(loss.From), time.Duration(loss.To), s.end())
	}
	for _, zone := range loss.Zones {
		if !slices.Contains(zoneNames, zone) {
			return s.fieldError("loss.halls", "%q is none of a, b, c", zone)
		}
	}
	return nil
}

// validateHotTenants validates the groups of hot tenants.
func (s *Scenario) validateHotTenants() error {
	for i, hot := range s.HotTenants {
		field := fmt.Sprintf("hot[%d]", i)
		inRange := hot.QuotaFactor >= 0 && hot.QuotaFactor <= maxQuotaFactor
		if !inRange || hot.Tenants < 0 || hot.Plan == "" {
			return s.fieldError(field, "plan %q, channels %d, times %v: want a plan, and up to %d times",
				hot.Plan, hot.Tenants, hot.QuotaFactor, maxQuotaFactor)
		}
		if hot.On < 0 || hot.Off < 0 || (hot.On == 0) != (hot.Off == 0) {
			return s.fieldError(field, "on %v, off %v: want both or neither",
				time.Duration(hot.On), time.Duration(hot.Off))
		}
	}
	return nil
}
