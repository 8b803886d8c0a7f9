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

// 200,000 ids take about 20 MB. Further refusals are counted, but not audited.
const maxAuditedRefusals = 200_000

// result is the result of one request.
type result struct {
	via         Via
	kind        string
	at          time.Duration // intended send time
	latency     time.Duration // since the intended send time
	sendLatency time.Duration // since the last send
	lateness    time.Duration // of the first send
	outcome     Outcome
	reason      Reason
	timely      bool
	resends     int
}

// refusal is a request whose reported outcome is not run.
type refusal struct {
	request answer.RequestID
	key     identifier.IdempotencyKey
}

// Group summarizes the requests of one kind with the same Via. Latencies are
// those of complete answers: Latency is measured from the intended send time,
// SendLatency from the actual one, which excludes the lateness of the load tool.
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
	latency     *hdrhistogram.Histogram
	sendLatency *hdrhistogram.Histogram
}

// recorder collects results. It is safe for concurrent use.
type recorder struct {
	mu                sync.Mutex
	groups            map[groupKey]*groupCounts
	windows           windows
	lateness          *hdrhistogram.Histogram
	refusals          []refusal
	uncheckedRefusals int
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
			latency: newHistogram(), sendLatency: newHistogram(),
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
		record(group.sendLatency, ended.sendLatency)
		if ended.timely {
			group.CompleteTimely++
		}
	}
	if ended.reason != ReasonClientLimit {
		record(r.lateness, ended.lateness)
	}
	r.windows.add(ended)
}

func (r *recorder) addRefusal(refused refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.refusals) >= maxAuditedRefusals {
		r.uncheckedRefusals++
		return
	}
	r.refusals = append(r.refusals, refused)
}

// list returns the groups sorted by Via and kind.
func (r *recorder) list() []Group {
	list := make([]Group, 0, len(r.groups))
	for _, counts := range r.groups {
		group := counts.Group
		group.Latency, group.SendLatency = percentiles(counts.latency), percentiles(counts.sendLatency)
		list = append(list, group)
	}
	slices.SortFunc(list, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Via, a.Via), cmp.Compare(a.Kind, b.Kind))
	})
	return list
}
