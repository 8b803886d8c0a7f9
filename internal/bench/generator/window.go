package generator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const windowSpan = 100 * time.Millisecond

// Window summarizes the requests whose intended send time lies in one interval of
// 100 ms.
type Window struct {
	Via            Via     `json:"via"`
	StartMs        int64   `json:"start_ms"`
	Sent           int     `json:"sent"`
	CompleteTimely int     `json:"complete_timely"`
	TimelyShare    float64 `json:"share_complete_timely"`
	Refusals       int     `json:"refusals"`
	Unknown        int     `json:"unknown"`
	P99            int64   `json:"p99_us"` // of complete answers
	Goodput        float64 `json:"goodput_per_second"`
}

type windowKey struct {
	via   Via
	index int64
}

type windowCounts struct {
	Window
	micros []uint32 // latencies of complete answers
}

// windows collects results by window, in any order.
type windows map[windowKey]*windowCounts

func (w windows) add(r result) {
	key := windowKey{via: r.via, index: int64(r.at / windowSpan)}
	counts := w[key]
	if counts == nil {
		counts = &windowCounts{Window: Window{Via: r.via, StartMs: key.index * windowSpan.Milliseconds()}}
		w[key] = counts
	}
	counts.Sent++
	switch r.outcome {
	case Complete:
		counts.micros = append(counts.micros, uint32(min(r.latency.Microseconds(), math.MaxUint32)))
		if r.timely {
			counts.CompleteTimely++
		}
	case NotRun:
		counts.Refusals++
	case Unknown:
		counts.Unknown++
	}
}

// list returns the windows sorted by Via and time.
func (w windows) list() []Window {
	list := make([]Window, 0, len(w))
	for _, counts := range w {
		window := counts.Window
		window.TimelyShare = float64(window.CompleteTimely) / float64(window.Sent)
		window.Goodput = float64(window.CompleteTimely) / windowSpan.Seconds()
		window.P99 = nearestRank(counts.micros, 0.99)
		list = append(list, window)
	}
	slices.SortFunc(list, func(a, b Window) int {
		return cmp.Or(cmp.Compare(b.Via, a.Via), cmp.Compare(a.StartMs, b.StartMs))
	})
	return list
}

// nearestRank returns a quantile by the nearest-rank method, or 0 without values.
func nearestRank(values []uint32, quantile float64) int64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return int64(values[int(math.Ceil(quantile*float64(len(values))))-1])
}
