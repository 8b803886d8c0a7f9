package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/magnoliaknot/magnoliaknot/internal/state/admitter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Guards against decisions of admission that change because the time of day jumps:
// deadlines of waiting attempts, the start rate of a cold backend server, its order of
// announcements and the expiry of quarantine entries.
func TestJumpingClock(t *testing.T) {
	const seed = 20261204
	decide := func(step timer.Millis) []string {
		clock := timer.NewManual(1, 1_700_000_000_000)
		a := newAdmission(new([]identifier.Incarnation))
		a.config.Clock = timer.NewSteady(clock)
		a.config.BroadcastQuarantine = func([]quarantiner.Entry) {}
		a.config.Configuration.Adopt((&router.Snapshot{Version: 1, Services: []router.Service{{Name: "orders", ColdPerSecond: 8}}}).Index())
		a.coldStart.update(1, timer.Second)
		random := rand.New(rand.NewPCG(seed, 0))
		var decisions []string
		var waiting []*Run
		for n := range 400 {
			clock.Advance(timer.Millis(1 + random.IntN(60)))
			clock.StepWall(step * timer.Millis(1-2*(n%2))) // Forward, and back again.
			switch random.IntN(6) {
			case 0:
				current := a.Announce(Backend{
					ID: "b", Incarnation: 1_700_000_000_000, Sequence: uint64(n - random.IntN(3)), Slots: 2, State: admitter.Ready,
					ColdFor: timer.Millis(random.IntN(400)),
				})
				decisions = append(decisions, fmt.Sprint(n, " announced ", current))
			case 1:
				a.AddQuarantineEntries([]quarantiner.Entry{{
					Fingerprint: identifier.NewFingerprint("GET", "/p1", nil), Kind: quarantiner.Quarantined,
					Expires: a.config.Clock.Wall() + timer.Millis(random.IntN(300)),
				}})
			default:
				run := newReadRun(uint64(n), fmt.Sprintf("/p%d", random.IntN(3)))
				run.fingerprint = identifier.NewFingerprint("GET", string(run.Request.Header.RequestURI()), nil)
				run.Attempt.Remaining = timer.Millis(random.IntN(500))
				a.submit(run)
				waiting = append(waiting, run)
			}
			a.mu.Lock()
			a.step(a.config.Clock.Now(), admitter.Tick{})
			a.setStartRateLimit(a.config.Clock.Now())
			a.mu.Unlock()
			waiting = slices.DeleteFunc(waiting, func(r *Run) bool {
				select {
				case d := <-r.decided:
					decisions = append(decisions, fmt.Sprint(n, " ", r.Attempt.ID.Sequence, " ", d))
					if d.start {
						a.finish(r, d, admitter.OK, timer.Millis(random.IntN(2)))
					}
					return true
				default:
					return false
				}
			})
		}
		return decisions
	}
	steady := decide(0)
	if len(steady) == 0 {
		t.Fatal("nothing was decided")
	}
	for _, step := range []timer.Millis{2400, 10 * timer.Second, -10 * timer.Second} {
		if jumping := decide(step); !slices.Equal(steady, jumping) {
			t.Errorf("with steps of %d ms: %d decisions, %d without; first difference at %d", step, len(jumping), len(steady), firstDifference(steady, jumping))
		}
	}
}

func firstDifference(x, y []string) int {
	for i := range min(len(x), len(y)) {
		if x[i] != y[i] {
			return i
		}
	}
	return min(len(x), len(y))
}
