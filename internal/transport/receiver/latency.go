package receiver

import (
	"slices"
	"time"
)

// latencyWeight is the weight of a new value in the moving mean.
const latencyWeight = 0.1

// latencyMean is a moving mean of latencies.
type latencyMean struct{ value float64 }

func (l *latencyMean) observe(latency time.Duration) {
	micros := float64(latency.Microseconds())
	if l.value == 0 {
		l.value = micros
		return
	}
	l.value += latencyWeight * (micros - l.value)
}

func (l *latencyMean) micros() int64 { return int64(l.value) }

// Size of the window of latencyQuantiles and how often it is sorted.
const (
	quantileWindow = 256
	quantileEvery  = 64
)

// latencyQuantiles estimates quantiles over the last answers.
type latencyQuantiles struct {
	window  [quantileWindow]time.Duration
	count   int
	p95     time.Duration
	p99     time.Duration
	scratch []time.Duration
}

func (l *latencyQuantiles) observe(latency time.Duration) {
	l.window[l.count%quantileWindow] = latency
	l.count++
	if l.count%quantileEvery != 0 {
		return
	}
	l.scratch = append(l.scratch[:0], l.window[:min(l.count, quantileWindow)]...)
	slices.Sort(l.scratch)
	l.p95 = l.scratch[len(l.scratch)*95/100]
	l.p99 = l.scratch[len(l.scratch)*99/100]
}
