package reducer_test

import (
	"fmt"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/reducer"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// runForSizes runs a benchmark for several numbers of services on a daemon with
// a full audit trail.
func runForSizes(b *testing.B, run func(b *testing.B, daemon *reducer.Reducer, services int)) {
	for _, services := range []int{100, 700, 2300} {
		daemon := reducer.New(reducer.Config{})
		mustApply(b, daemon, 0, encodeChange("first", 0, noon, initialEdits(services, 29)...))
		for i := range 2000 {
			version := daemon.State().Version
			mustApply(b, daemon, daemon.State().Next(), encodeChange(fmt.Sprint(i), version, noon, setService(i%services, 5)))
		}
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			b.ReportAllocs()
			run(b, daemon, services)
		})
	}
}

func BenchmarkApply(b *testing.B) {
	i := 0
	runForSizes(b, func(b *testing.B, daemon *reducer.Reducer, services int) {
		for b.Loop() {
			i++
			b.StopTimer()
			state := daemon.State()
			record := encodeChange(fmt.Sprint("change-", i), state.Version, noon, setService(i%services, identifier.Slots(1+i%9)))
			b.StartTimer()
			if _, ok := mustApply(b, daemon, state.Next(), record).(reducer.Accepted); !ok {
				b.Fatal("not accepted")
			}
		}
	})
}

func BenchmarkCheckpoint(b *testing.B) {
	runForSizes(b, func(b *testing.B, daemon *reducer.Reducer, _ int) {
		for b.Loop() {
			b.SetBytes(int64(len(mustCheckpoint(b, daemon))))
		}
	})
}

func BenchmarkRestore(b *testing.B) {
	runForSizes(b, func(b *testing.B, daemon *reducer.Reducer, _ int) {
		checkpoint := mustCheckpoint(b, daemon)
		b.SetBytes(int64(len(checkpoint)))
		for b.Loop() {
			if moved, err := reducer.New(reducer.Config{}).Restore(checkpoint); err != nil || !moved {
				b.Fatal(moved, err)
			}
		}
	})
}
