package generator_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/generator"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
)

// Guards against arrivals out of order or after the end of the run, against a
// number of arrivals that does not follow the rate of each step, and against
// schedules that differ for the same seed.
func TestSchedule(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		config := generator.Config{
			Pattern: rapid.SampledFrom([]generator.Pattern{generator.Poisson, generator.Uniform}).Draw(t, "pattern"),
			Rate:    rapid.Float64Range(1, 1000).Draw(t, "rate"),
		}
		var span time.Duration
		var want float64
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			step := generator.Step{
				Factor:   rapid.Float64Range(0, 5).Draw(t, "factor"),
				Duration: time.Duration(rapid.IntRange(1, 2000).Draw(t, "span")) * time.Millisecond,
			}
			config.Steps = append(config.Steps, step)
			span += step.Duration
			want += config.Rate * step.Factor * step.Duration.Seconds()
		}
		seed := rapid.Uint64().Draw(t, "seed")
		schedule := generator.NewSchedule(config, rand.New(rand.NewPCG(seed, 0)))
		same := generator.NewSchedule(config, rand.New(rand.NewPCG(seed, 0)))
		count, last := 0, time.Duration(0)
		for at, more := schedule.Next(); more; at, more = schedule.Next() {
			if again, _ := same.Next(); again != at {
				t.Fatalf("arrival %d at %v and %v with the same seed", count, at, again)
			}
			if at < last || at > span {
				t.Fatalf("arrival at %v after %v in a run of %v", at, last, span)
			}
			count, last = count+1, at
		}
		// Six standard deviations of a Poisson count; a uniform count is exact.
		slack := 1.0
		if config.Pattern == generator.Poisson {
			slack = 6*math.Sqrt(want) + 6
		}
		if math.Abs(float64(count)-want) > slack {
			t.Fatalf("%d arrivals, want %.1f", count, want)
		}
	})
}
