package scheduler_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/scheduler"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against an index that finds a different service than a scan over all
// prefixes.
func TestRouteFindsTheLongestPrefix(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{1,2}){1,4}/?`)
	tester.Check(t, func(t *rapid.T) {
		sheet := new(parser.Sheet)
		for i, prefix := range rapid.SliceOfNDistinct(path, 4, 12, rapid.ID[string]).Draw(t, "prefixes") {
			sheet.Services = append(sheet.Services, &parser.Service{
				Name: identifier.ServiceName(fmt.Sprint(i)), PathPrefixes: []string{prefix},
			})
		}
		requested := path.Draw(t, "path")
		var want *parser.Service
		for _, service := range sheet.Services {
			prefix := service.PathPrefixes[0]
			if parser.MatchesPrefix(requested, prefix) && (want == nil || len(prefix) > len(want.PathPrefixes[0])) {
				want = service
			}
		}
		if got, _ := scheduler.New(sheet, nil).Route("", "", requested); got != want {
			t.Fatalf("%s: want %v, got %v", requested, want, got)
		}
	})
}

// Guards against a change of state that NextChange does not report, against
// treating a failure domain as in service during a window, and against a share that
// falls between changes.
func TestNothingChangesBeforeNextChange(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		moment := func(label string) timer.Millis { return noon + timer.Millis(rapid.IntRange(0, 100).Draw(t, label)) }
		domain := &parser.FailureDomain{Name: "d1", ReturnRamp: timer.Millis(rapid.IntRange(0, 20).Draw(t, "ramp"))}
		service := &parser.Service{Name: "s1", MaxInFlight: 9}
		domain.Out = drawWindows(t)
		for _, window := range drawWindows(t) {
			service.LimitsByTime = append(service.LimitsByTime, parser.TimedLimit{Window: window, MaxInFlight: 3})
		}
		returned := map[identifier.FailureDomain]timer.Millis{}
		if rapid.Bool().Draw(t, "by change") {
			returned["d1"] = moment("returned")
		}
		domain.Out = rapid.Permutation(domain.Out).Draw(t, "order")
		schedule := scheduler.New(&parser.Sheet{
			FailureDomains: []*parser.FailureDomain{domain}, Services: []*parser.Service{service},
		}, returned)
		wall := moment("wall")
		state, limits := schedule.Domain(wall, "d1"), must(schedule.Limits(wall, "s1"))
		next, ok := schedule.NextChange(wall)
		if ok && next <= wall {
			t.Fatalf("next change %d is not after %d", next, wall)
		}
		for ; wall < next || !ok && wall < noon+300; wall++ {
			now := schedule.Domain(wall, "d1")
			if now.Out != domain.OutAt(wall) || now.Out != state.Out || must(schedule.Limits(wall, "s1")) != limits || (limits.MaxInFlight == 3) != limited(service, wall) {
				t.Fatalf("state changed at %d, before the next change at %d: %+v to %+v", wall, next, state, now)
			}
			if now.RampShare < state.RampShare || now.RampShare > 1 || !now.Out && now.RampShare <= 0 {
				t.Fatalf("share went from %v to %v", state.RampShare, now.RampShare)
			}
			state = now
		}
		if !ok && !state.Out && state.RampShare != 1 {
			t.Fatalf("share stays at %v after the last change", state.RampShare)
		}
	})
}

// drawWindows draws windows that do not overlap.
func drawWindows(t *rapid.T) []parser.Window {
	var windows []parser.Window
	for end := noon; end < noon+100; {
		from := end + timer.Millis(rapid.IntRange(0, 50).Draw(t, "gap"))
		end = from + timer.Millis(rapid.IntRange(1, 50).Draw(t, "length"))
		windows = append(windows, between(from, end))
	}
	return windows
}

func limited(service *parser.Service, wall timer.Millis) bool {
	return slices.ContainsFunc(service.LimitsByTime, func(l parser.TimedLimit) bool { return l.Contains(wall) })
}

func must(limits scheduler.Limits, ok bool) scheduler.Limits {
	if !ok {
		panic("service is unknown")
	}
	return limits
}

func BenchmarkNew(b *testing.B) {
	for _, size := range []int{100, 700, 2300} {
		sheet := makeSheet(size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				scheduler.New(sheet, nil)
			}
		})
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, size := range []int{100, 700, 2300} {
		schedule := scheduler.New(makeSheet(size), nil)
		for _, c := range []struct{ kind, host, path string }{
			{"host", "service-0099.local:8080", "/orders/7"},
			{"path", "10.0.0.1:8080", "/service-0099/deep/er/orders/7/lines/12"},
		} {
			b.Run(fmt.Sprintf("%s/%d", c.kind, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, ok := schedule.Route("", c.host, c.path); !ok {
						b.Fatal("no route")
					}
				}
			})
		}
	}
}
