package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of Latencies.
const (
	minLatency        = 100 * time.Microsecond
	maxLatency        = 2 * time.Minute
	significantDigits = 3
)

// Latencies is a histogram of latencies. Callers should measure from when a request was due, so that the delay of a
// client that sends late is included. The histogram covers 100 us to 2 minutes with three significant digits, and
// clamps other values to that range. It is not safe for concurrent use.
type Latencies struct{ histogram *hdrhistogram.Histogram }

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)}
}

// Add records one latency.
func (l *Latencies) Add(latency time.Duration) {
	inRange := min(max(latency.Microseconds(), minLatency.Microseconds()), l.histogram.HighestTrackableValue())
	// RecordValue fails only for values out of range.
	_ = l.histogram.RecordValue(inRange)
}

// QuantileMS returns a quantile (0 to 1) in milliseconds, or 0 if nothing was recorded.
func (l *Latencies) QuantileMS(quantile float64) float64 {
	if l.histogram.TotalCount() == 0 {
		return 0
	}
	return float64(l.histogram.ValueAtQuantile(100*quantile)) / 1000
}
