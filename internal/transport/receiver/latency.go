package receiver

import "time"

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
