package capacity_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/holder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/reducer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// The deployment size to support in two years, from docs/design.md.
const (
	targetMembers  = 34_000
	targetServices = 2300
	targetDomains  = 29
	targetRegions  = 9
	noon           = timer.Millis(1_798_804_800_000)
)

var (
	memberSizes  = []int{8500, 17_000, targetMembers}
	serviceSizes = []int{575, 1150, targetServices}
)

var discardLogger = slog.New(slog.DiscardHandler)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// liveHeap returns the live liveHeap in bytes.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// processorTime returns the processor time of this process in user and system mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// runSizes runs a sub-benchmark for each size.
func runSizes(b *testing.B, unit string, sizes []int, run func(b *testing.B, size int)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%s=%d", unit, size), func(b *testing.B) { run(b, size) })
	}
}

func serviceName(n int) identifier.ServiceName {
	return identifier.ServiceName(fmt.Sprintf("service-%04d", n))
}

func domainName(n int) identifier.FailureDomain {
	return identifier.FailureDomain(fmt.Sprintf("domain-%02d", n%targetDomains))
}

func regionName(n int) identifier.Region {
	return identifier.Region(fmt.Sprintf("region-%d", n%targetDomains%targetRegions))
}

// setService returns an edit that sets every field of the example in docs/design.md.
func setService(n int, limit identifier.Slots) parser.Edit {
	name := string(serviceName(n))
	return parser.SetService{Service: &parser.Service{
		Name: serviceName(n), Hosts: []string{name + ".local"}, PathPrefixes: []string{"/" + name + "/"},
		InstanceClass: "standard", ExpectedLoad: 4800, MaxInFlight: limit, MaxQueue: 40, DefaultTimeout: 2000, MaxTimeout: 10_000,
		LimitsByTime: []parser.TimedLimit{{
			Window: parser.Window{From: parser.Time(noon), To: parser.Time(noon + timer.Hour)}, MaxInFlight: 2,
		}},
		RetryBudgetPercent: 10, HedgePercent: 5, DeduplicationWindow: 600_000, Quarantine: 300_000,
		IdempotentRules:  []parser.Rule{{Method: "GET", PathPrefix: "/"}},
		KeyRequiredRules: []parser.Rule{{Method: "POST", PathPrefix: "/" + name + "/orders"}},
	}}
}

// sheetEdits returns the edits that create a complete sheet.
func sheetEdits(services int) parser.Edits {
	edits := parser.Edits{
		parser.SetGlobals{Globals: parser.Globals{
			Format: 1, Deployment: "target", MeasuringBudget: parser.MeasuringBudget{MessagesPerSecond: 200, BytesPerSecond: 16_384},
		}},
		parser.SetInstanceClass{InstanceClass: &parser.InstanceClass{
			Name: "standard", Slots: 20, Connections: 240, ColdLimit: 2, RampCompletions: 20,
		}},
	}
	for n := range targetDomains {
		edits = append(edits, parser.SetFailureDomain{FailureDomain: &parser.FailureDomain{
			Name: domainName(n), Region: regionName(n), ReturnRamp: 10_000,
		}})
	}
	for n := range services {
		edits = append(edits, setService(n, 4))
	}
	return edits
}

func changePayload(n int, base identifier.Version, edits ...parser.Edit) []byte {
	return must(json.Marshal(reducer.Change{
		ID: identifier.ChangeID(fmt.Sprintf("019b1a2c-7d3e-7000-8000-%012d", n)), BaseVersion: base, Operator: "planner-north",
		PublishedAt: noon + timer.Millis(n), Comment: "month-end sheet of 2026-12-31, row 0412", Edits: edits,
	}))
}

// changes returns the payloads of a configuration stream: a change that creates a
// complete sheet, then changes of one service each.
func changes(services, count int) [][]byte {
	list := [][]byte{changePayload(0, 0, sheetEdits(services)...)}
	for n := 1; n <= count; n++ {
		list = append(list, changePayload(n, identifier.Version(n), setService(n%services, identifier.Slots(1+n%9))))
	}
	return list
}

func foldConfiguration(list [][]byte) *holder.Configuration {
	c := holder.NewConfiguration(discardLogger)
	for offset, payload := range list {
		if err := c.Apply(identifier.Offset(offset), payload); err != nil {
			panic(err)
		}
	}
	if c.View().Version != identifier.Version(len(list)) {
		panic("a change was rejected")
	}
	return c
}

func instanceID(n int) identifier.InstanceID {
	return identifier.InstanceID(fmt.Sprintf("vm-%05d.domain-%02d", n, n%targetDomains))
}

func incarnation(n int) identifier.Incarnation {
	return identifier.Incarnation(uint64(noon)<<16 + uint64(n))
}

func member(n int) tracker.Member {
	return tracker.Member{
		Instance: instanceID(n), Incarnation: incarnation(n), Service: serviceName(n % targetServices),
		FailureDomain: domainName(n), Region: regionName(n), Class: "standard", Slots: 20, State: tracker.Ready,
		Peer:  identifier.Address(fmt.Sprintf("10.%d.%d.%d:7001", n%targetDomains, n/targetDomains/250, n/targetDomains%250)),
		Probe: identifier.Address(fmt.Sprintf("10.%d.%d.%d:7002", n%targetDomains, n/targetDomains/250, n/targetDomains%250)),
	}
}

// membership returns a tracker whose members joined in batches of 50.
func membership(count int) *tracker.Tracker {
	t := tracker.New(tracker.Config{Self: instanceID(0), FailureDomain: domainName(0), Retention: timer.Day})
	var batch []tracker.Record
	offset := identifier.Offset(0)
	for n := range count {
		batch = append(batch, tracker.Join{Member: member(n)})
		if len(batch) == 50 || n == count-1 {
			if err := t.Apply(offset, must(tracker.EncodeBatch(batch))); err != nil {
				panic(err)
			}
			batch, offset = nil, offset+1
		}
	}
	if t.Len() != count {
		panic("a join was rejected")
	}
	return t
}
