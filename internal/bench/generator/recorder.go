package generator

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/answer"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// 200,000 ids take about 20 MB. Refusals beyond are not audited and counted.
const maxAuditedRefusals = 200_000

// result is the end of one request.
type result struct {
	via      Via
	kind     string
	at       time.Duration // intended send time
	latency  time.Duration // since the intended send time
	answered time.Duration // since the last send
	lateness time.Duration // of the first send
	outcome  Outcome
	reason   Reason
	timely   bool
	resends  int
}

// refusal is a request that was told "not run".
type refusal struct {
	request answer.RequestID
	key     identifier.IdempotencyKey
}

// Group describes the requests of one kind that took one way. Latencies are
// those of complete answers: Latency from the intended send time, Answered from
// the actual one, which leaves out the lateness of the load tool.
type Group struct {
	Via            Via             `json:"via"`
	Kind           string          `json:"kind"`
	Sent           int             `json:"sent"`
	CompleteTimely int             `json:"complete_timely"`
	Outcomes       map[Outcome]int `json:"outcomes"`
	Reasons        map[Reason]int  `json:"reasons"`
	Resends        int             `json:"resends"`
	Latency        Percentiles     `json:"latency"`
	SendLatency    Percentiles     `json:"answered"`
}

type groupKey struct {
	via  Via
	kind string
}

type groupCounts struct {
	Group
	latency  *hdrhistogram.Histogram
	answered *hdrhistogram.Histogram
}

// recorder collects results. It is safe for concurrent use.
type recorder struct {
	mu        sync.Mutex
	groups    map[groupKey]*groupCounts
	windows   windows
	lateness  *hdrhistogram.Histogram
	refusals  []refusal
	unaudited int
}

func newRecorder() *recorder {
	return &recorder{groups: make(map[groupKey]*groupCounts), windows: make(windows), lateness: newHistogram()}
}

func (r *recorder) add(ended result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := groupKey{ended.via, ended.kind}
	group := r.groups[key]
	if group == nil {
		group = &groupCounts{
			Group:   Group{Via: ended.via, Kind: ended.kind, Outcomes: make(map[Outcome]int), Reasons: make(map[Reason]int)},
			latency: newHistogram(), answered: newHistogram(),
		}
		r.groups[key] = group
	}
	group.Sent++
	group.Outcomes[ended.outcome]++
	group.Resends += ended.resends
	if ended.reason != "" {
		group.Reasons[ended.reason]++
	}
	if ended.outcome == Complete {
		record(group.latency, ended.latency)
		record(group.answered, ended.answered)
		if ended.timely {
			group.CompleteTimely++
		}
	}
	if ended.reason != ReasonClientLimit {
		record(r.lateness, ended.lateness)
	}
	r.windows.add(ended)
}

func (r *recorder) addRefusal(told refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.refusals) >= maxAuditedRefusals {
		r.unaudited++
		return
	}
	r.refusals = append(r.refusals, told)
}

// list returns the groups by way and kind.
func (r *recorder) list() []Group {
	list := make([]Group, 0, len(r.groups))
	for _, counts := range r.groups {
		group := counts.Group
		group.Latency, group.SendLatency = percentiles(counts.latency), percentiles(counts.answered)
		list = append(list, group)
	}
	slices.SortFunc(list, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Via, a.Via), cmp.Compare(a.Kind, b.Kind))
	})
	return list
}
