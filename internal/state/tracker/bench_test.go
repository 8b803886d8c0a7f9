package tracker_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// payloads returns joins of count members in 2,300 services and 29 failure
// domains, in batches of 50.
func payloads(count int) [][]byte {
	var list [][]byte
	var batch []tracker.Record
	for n := range count {
		m := member(n, identifier.Incarnation(1_796_000_000_000<<16+n), 0)
		m.Instance = identifier.InstanceID(fmt.Sprintf("vm-%05d.domain-%02d", n, n%29))
		m.Service = identifier.ServiceName(fmt.Sprintf("service-%04d", n%2300))
		m.FailureDomain = identifier.FailureDomain(fmt.Sprintf("domain-%02d", n%29))
		m.Peer = identifier.Address(fmt.Sprintf("10.%d.%d.%d:7001", n%29, n/29/250, n/29%250))
		m.Probe = identifier.Address(fmt.Sprintf("10.%d.%d.%d:7002", n%29, n/29/250, n/29%250))
		if batch = append(batch, tracker.Join{Member: m}); len(batch) == 50 || n == count-1 {
			payload, err := tracker.EncodeBatch(batch)
			if err != nil {
				panic(err)
			}
			list, batch = append(list, payload), nil
		}
	}
	return list
}

func foldAll(list [][]byte) *tracker.Tracker {
	tr := newTracker("vm-00000.domain-00")
	for offset, payload := range list {
		if err := tr.Apply(identifier.Offset(offset), payload); err != nil {
			panic(err)
		}
	}
	return tr
}

func filled(count int) *tracker.Tracker { return foldAll(payloads(count)) }

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkFold(b *testing.B) {
	for _, count := range []int{1_000, 8_000, 34_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			list := payloads(count)
			before := heap()
			var tr *tracker.Tracker
			for b.Loop() {
				tr = foldAll(list)
			}
			for n := range 2300 {
				tr.Instances(identifier.ServiceName(fmt.Sprintf("service-%04d", n)))
			}
			used := heap() - before
			b.ReportMetric(float64(used)/float64(count), "B/member")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/record")
			runtime.KeepAlive(tr)
			runtime.KeepAlive(list)
		})
	}
}

func BenchmarkCheckpoint(b *testing.B) {
	tr := filled(34_000)
	for b.Loop() {
		payload, err := tr.Checkpoint()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(payload)), "bytes")
		if _, err := newTracker("x").Restore(payload); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkUsable(b *testing.B) {
	tr := filled(34_000)
	for b.Loop() {
		for _, m := range tr.Instances("service-0007") {
			tr.Usable(m.Instance, 1)
		}
	}
}
