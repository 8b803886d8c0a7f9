package generator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Percentiles describes a distribution of times in microseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_us"`
	P50   int64   `json:"p50_us"`
	P90   int64   `json:"p90_us"`
	P99   int64   `json:"p99_us"`
	P999  int64   `json:"p99_9_us"`
	Max   int64   `json:"max_us"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, significantDigits)
}

func record(histogram *hdrhistogram.Histogram, span time.Duration) {
	// The value is clamped to the range, so recording cannot fail.
	_ = histogram.RecordValue(min(max(span.Microseconds(), 0), maxMicros))
}

func percentiles(histogram *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		Count: histogram.TotalCount(),
		Mean:  histogram.Mean(),
		P50:   histogram.ValueAtPercentile(50),
		P90:   histogram.ValueAtPercentile(90),
		P99:   histogram.ValueAtPercentile(99),
		P999:  histogram.ValueAtPercentile(99.9),
		Max:   histogram.Max(),
	}
}
