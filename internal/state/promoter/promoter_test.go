package promoter_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/promoter"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// begin returns a promoter that has decided on its first write and reads the store, and
// what it observes.
func begin() (*promoter.Promoter, promoter.Observed) {
	order := router.RolloutOrder{Service: "shop", Target: newVersion, Duration: duration}
	rollout, _ := (&router.Snapshot{Orders: []router.RolloutOrder{order}}).Rollout("shop")
	observed := promoter.Observed{Rollout: rollout, Wall: wallStart}
	p := promoter.New(promoter.Config{Service: "shop"})
	p.Step(1000, observed)
	return p, observed
}

// find returns the last action of a type.
func find[A promoter.Action](actions []promoter.Action) (A, bool) {
	var last A
	found := false
	for _, action := range actions {
		if a, ok := action.(A); ok {
			last, found = a, true
		}
	}
	return last, found
}

// Guards against a daemon that writes what it decided before it was paused, when another
// one has decided since.
func TestPause(t *testing.T) {
	for _, pause := range []timer.Millis{500, 600, 2000, 30_000} {
		p, _ := begin()
		actions := p.Step(1000+pause, promoter.ControlRead{})
		if _, writes := find[promoter.Write](actions); writes {
			t.Errorf("written after a pause of %d ms", pause)
		}
		if _, reads := find[promoter.ReadControl](actions); !reads {
			t.Errorf("not read after a pause of %d ms", pause)
		}
		moved := router.Control{Offset: 3, Rollouts: []router.RolloutProgress{{Service: "shop", Target: newVersion, Phase: router.RolloutCompleted, Percent: 100, StartedAt: wallStart}}}
		actions = p.Step(1010+pause, promoter.ControlRead{Control: moved})
		if publish, found := find[promoter.Publish](actions); !found || publish.Progress.Phase != router.RolloutCompleted {
			t.Errorf("%v after another daemon completed the roll-out", actions)
		}
	}
}

// Guards against a store whose answers are slow being taken for a pause, after which
// nothing would ever be written.
func TestSlowStore(t *testing.T) {
	p, observed := begin()
	for now := timer.Millis(1250); now < 4000; now += 250 {
		p.Step(now, observed)
	}
	if _, writes := find[promoter.Write](p.Step(4000, promoter.ControlRead{})); !writes {
		t.Error("not written after a read of 3 s")
	}
}

// Guards against a record that is written twice, or a status that is not published, after
// the answer to a write was lost.
func TestLostAnswer(t *testing.T) {
	for _, stored := range []bool{true, false} {
		p, observed := begin()
		write, found := find[promoter.Write](p.Step(1010, promoter.ControlRead{}))
		if !found {
			t.Fatal("not written")
		}
		control := router.Control{}
		if stored {
			control = router.Control{Offset: 1, Rollouts: []router.RolloutProgress{write.Progress}}
		}
		p.Step(1200, promoter.WriteFailed{})
		p.Step(1500, observed)
		if _, reads := find[promoter.ReadControl](p.Step(1750, observed)); !reads {
			t.Error("not read after the answer to a write was lost")
		}
		actions := p.Step(1800, promoter.ControlRead{Control: control})
		_, writes := find[promoter.Write](actions)
		if _, publishes := find[promoter.Publish](actions); writes == stored || publishes != stored {
			t.Errorf("stored %v: %v", stored, actions)
		}
	}
}

// Guards against two accesses to the store at once, against a write or a publication
// without a valid read or write before it, and against a crash on answers that are late,
// repeated or belong to nothing.
func TestAccesses(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		p, observed := begin()
		outstanding, valid := 1, false
		now, control := timer.Millis(1000), router.Control{}
		for range 60 {
			gap := timer.Millis(rapid.SampledFrom([]int{10, 100, 250, 499, 500, 30_000}).Draw(t, "gap"))
			now += gap
			valid = valid && gap < 500
			observed.Wall += gap
			event := rapid.SampledFrom([]promoter.Event{
				observed, observed,
				promoter.ControlRead{Control: control},
				promoter.ReadFailed{},
				promoter.Written{Position: control.Position()},
				promoter.Conflicted{},
				promoter.WriteFailed{},
				promoter.Published{},
				promoter.PublishFailed{},
			}).Draw(t, "event")
			if _, isOrder := event.(promoter.Observed); !isOrder {
				outstanding = 0 // An answer, or ignored.
			}
			switch event.(type) {
			case promoter.ControlRead, promoter.Written:
				valid = true
			}
			for _, action := range p.Step(now, event) {
				switch a := action.(type) {
				case promoter.ReadControl:
					outstanding++
				case promoter.Write:
					if outstanding++; !valid || a.Since != control.Position() {
						t.Fatalf("%v without a valid read", a)
					}
					control.Offset++
					control.Rollouts = []router.RolloutProgress{a.Progress}
				case promoter.Publish:
					if outstanding++; !valid {
						t.Fatalf("%v without a valid read", a)
					}
				}
			}
			if outstanding > 1 {
				t.Fatal("two accesses to the store at once")
			}
		}
	})
}
