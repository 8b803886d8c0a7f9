package quarantiner_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const period = 10 * timer.Second

var crashing, innocent = identifier.Fingerprint{1}, identifier.Fingerprint{2}

func TestQuarantiner(t *testing.T) { tester.RunSpecs(t, "quarantiner") }

var _ = Describe("a crash", func() {
	both := quarantiner.Crash{Running: []quarantiner.Running{{Fingerprint: crashing, HasFingerprint: true}, {Fingerprint: innocent, HasFingerprint: true}}}
	type sequence []quarantiner.Event
	cases := []struct {
		fault  string
		events sequence
		want   quarantiner.Verdict
	}{
		{"ignoring a crash after a clear", sequence{both, quarantiner.Complete{Fingerprint: crashing, Solo: true, Good: true}, both}, quarantiner.RunSolo},
		{"a quarantine after a crash that may have another cause", sequence{quarantiner.Crash{Uncertain: true, Running: both.Running[:1]}}, quarantiner.RunSolo},
		{"refusing a popular request after one crash", sequence{quarantiner.Crash{Running: both.Running[:1]}}, quarantiner.RunSolo},
		{"counting one crash once for each running copy of a popular request", sequence{quarantiner.Crash{Running: []quarantiner.Running{both.Running[0], both.Running[0]}}}, quarantiner.RunSolo},
		{"a third crash", sequence{both, quarantiner.Crash{Running: both.Running[:1]}}, quarantiner.Refuse},
		{"blocking a request forever because of a wrong remote clock", sequence{quarantiner.Remote{Entry: quarantiner.Entry{Fingerprint: crashing, Kind: quarantiner.Quarantined, Expires: 1 << 60}}}, quarantiner.Refuse},
	}
	for _, c := range cases {
		It("guards against "+c.fault, func() {
			q := quarantiner.New(quarantiner.Config{Period: period})
			for _, event := range c.events {
				q.Step(1, event, nil)
			}
			verdict, left := q.Verdict(1, crashing)
			Expect(verdict).To(Equal(c.want))
			Expect(left).To(BeNumerically("<=", timer.Day))
		})
	}
})

// Guards against daemons with different verdicts after the same entries, against a
// clear that ends a quarantine, and against a table above its bound.
func TestConvergence(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantiner.Entry {
			f := identifier.Fingerprint{rapid.Byte().Draw(t, "fingerprint") % 3}
			return quarantiner.Entry{Fingerprint: f, Kind: quarantiner.Kind(rapid.IntRange(0, 2).Draw(t, "kind")), Expires: timer.Millis(rapid.IntRange(0, 50).Draw(t, "expires"))}
		}), 1, 20).Draw(t, "entries")
		a, b, small := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{Entries: 2})
		quarantined := map[identifier.Fingerprint]timer.Millis{}
		for _, e := range entries {
			a.Step(1, quarantiner.Remote{Entry: e}, nil)
			if small.Step(1, quarantiner.Remote{Entry: e}, nil); small.Size() > 2 {
				t.Fatalf("%d entries kept", small.Size())
			}
			if e.Kind == quarantiner.Quarantined {
				quarantined[e.Fingerprint] = max(quarantined[e.Fingerprint], e.Expires)
			}
		}
		for i, e := range rapid.Permutation(append(entries, entries...)).Draw(t, "shuffled") {
			b.Step(timer.Millis(1+i%10), quarantiner.Remote{Entry: e}, nil)
		}
		for wall := timer.Millis(10); wall < 52; wall++ {
			for _, e := range entries {
				v, left := a.Verdict(wall, e.Fingerprint)
				w, right := b.Verdict(wall, e.Fingerprint)
				if v != w || left != right || (v == quarantiner.Refuse) != (quarantined[e.Fingerprint] > wall) {
					t.Fatalf("verdicts %v and %v at %d", v, w, wall)
				}
			}
		}
	})
}

// Guards against a crashing request that runs more than twice per period, and
// against an innocent one that must run solo more than once after a crash beside
// it. Entries reach all daemons before the request is sent again, in any order and
// repeatedly; delayed copies of earlier entries arrive as well.
func TestCrashingRequest(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		config := quarantiner.Config{Period: period}
		servers := []*quarantiner.Quarantiner{quarantiner.New(config), quarantiner.New(config), quarantiner.New(config)}
		runs, sent := []timer.Millis{}, []quarantiner.Action{}
		solo, wall := 0, timer.Second
		for range 60 {
			wall += timer.Millis(rapid.SampledFrom([]int{0, 1, 300, 4000, 12000}).Draw(t, "gap"))
			q := rapid.SampledFrom(servers).Draw(t, "server")
			crashingVerdict, _ := q.Verdict(wall, crashing)
			innocentVerdict, _ := q.Verdict(wall, innocent)
			var event quarantiner.Event = quarantiner.Tick{}
			if rapid.Bool().Draw(t, "innocent") {
				if solo--; innocentVerdict == quarantiner.Refuse || (innocentVerdict == quarantiner.RunSolo && solo < 0) {
					t.Fatalf("innocent request has verdict %v", innocentVerdict)
				}
				event = quarantiner.Complete{Fingerprint: innocent, Solo: innocentVerdict == quarantiner.RunSolo, Good: true}
			} else if crashingVerdict != quarantiner.Refuse {
				if runs = append(runs, wall); len(runs) > 2 && wall-runs[len(runs)-3] < period {
					t.Fatalf("crashing request ran more than twice per period, at %v", runs)
				}
				running := []quarantiner.Running{{Fingerprint: crashing, HasFingerprint: true, Solo: crashingVerdict == quarantiner.RunSolo}}
				if crashingVerdict == quarantiner.Run && innocentVerdict == quarantiner.Run && rapid.Bool().Draw(t, "beside") {
					running = append(running, quarantiner.Running{Fingerprint: innocent, HasFingerprint: true})
					solo = 1
				}
				event = quarantiner.Crash{Running: running}
			}
			actions := q.Step(wall, event, nil)
			sent = append(sent, actions...)
			late := rapid.SliceOfN(rapid.SampledFrom(append(sent, quarantiner.VerdictChanged{})), 0, 3).Draw(t, "late")
			for _, q := range servers {
				for _, action := range rapid.Permutation(append(late, actions...)).Draw(t, "order") {
					if spread, ok := action.(quarantiner.Broadcast); ok {
						q.Step(wall, quarantiner.Remote(spread), nil)
					}
				}
			}
		}
	})
}
