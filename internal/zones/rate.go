package zones

import (
	"math"
	"time"
)

// rateTimeConstant is the time, in seconds, over which rates are averaged.
const rateTimeConstant = 1.0

// decayingRate is an exponentially decaying average of events a second.
type decayingRate struct {
	value float64
	at    time.Duration // time of the last event, to which value is decayed; 0: no event yet
}

// add counts one event.
func (r *decayingRate) add(now time.Duration) {
	r.value = r.get(now) + 1/rateTimeConstant
	r.at = now
}

// get returns the events a second as of now.
func (r *decayingRate) get(now time.Duration) float64 {
	if r.at == 0 {
		return 0
	}
	return r.value * math.Exp(-(now-r.at).Seconds()/rateTimeConstant)
}
