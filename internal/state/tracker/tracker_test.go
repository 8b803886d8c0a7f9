package tracker_test

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

func TestTracker(t *testing.T) { tester.RunSpecs(t, "tracker") }

// member returns a member whose content depends only on its three numbers.
func member(n int, incarnation identifier.Incarnation, revision uint32) tracker.Member {
	return tracker.Member{
		Instance: identifier.InstanceID(fmt.Sprintf("i-%d", n)), Incarnation: incarnation, Revision: revision,
		Service: identifier.ServiceName(fmt.Sprintf("s-%d", (n+int(revision))%3)), Region: "jutland",
		FailureDomain: identifier.FailureDomain(fmt.Sprintf("d-%d", n%2)), Class: "standard", Slots: 20,
		Peer: "10.0.0.1:7000", State: tracker.Ready,
	}
}

func newTracker(self identifier.InstanceID) *tracker.Tracker {
	return tracker.New(tracker.Config{Self: self, FailureDomain: "d-0", Retention: timer.Hour})
}

func drawRecord(t *rapid.T) tracker.Record {
	m := member(rapid.IntRange(0, 7).Draw(t, "instance"),
		identifier.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")), uint32(rapid.IntRange(0, 2).Draw(t, "revision")))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return tracker.Leave{Instance: m.Instance, Incarnation: m.Incarnation}
	case 1:
		return tracker.Renew{Instance: m.Instance, Incarnation: m.Incarnation}
	default:
		return tracker.Join{Member: m}
	}
}

func encode(t *rapid.T, records []tracker.Record) []byte {
	payload, err := tracker.EncodeBatch(records)
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

// appendAll folds records in batches of random sizes after the last offset.
func appendAll(t *rapid.T, tr *tracker.Tracker, records []tracker.Record) {
	for len(records) > 0 {
		n := rapid.IntRange(1, len(records)).Draw(t, "batch")
		next := identifier.Offset(0)
		if folded, ok := tr.Folded(); ok {
			next = folded + 1
		}
		if err := tr.Apply(next, encode(t, records[:n])); err != nil {
			t.Fatal(err)
		}
		records = records[n:]
	}
}

// expectedMembers applies the membership rule of design section 6, regardless of
// the order of records.
func expectedMembers(records []tracker.Record) []tracker.Member {
	best := map[identifier.InstanceID]tracker.Member{}
	left := map[identifier.InstanceID]identifier.Incarnation{}
	for _, r := range records {
		switch r := r.(type) {
		case tracker.Leave:
			left[r.Instance] = max(left[r.Instance], r.Incarnation)
		case tracker.Join:
			b := best[r.Instance]
			if c := cmp.Compare(r.Incarnation, b.Incarnation); c > 0 || c == 0 && r.Revision > b.Revision {
				best[r.Instance] = r.Member
			}
		}
	}
	var list []tracker.Member
	for _, m := range best {
		if m.Incarnation > left[m.Instance] {
			list = append(list, m)
		}
	}
	return sorted(list)
}

func sorted(list []tracker.Member) []tracker.Member {
	slices.SortFunc(list, func(a, b tracker.Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

func members(tr *tracker.Tracker) []tracker.Member {
	var list []tracker.Member
	for _, s := range []identifier.ServiceName{"s-0", "s-1", "s-2"} {
		list = append(list, tr.Instances(s)...)
	}
	return sorted(list)
}

// Guards against a membership that depends on the order or the repetition of
// records, as retries after lost answers produce them.
func TestOrderOfRecords(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 30).Draw(t, "records")
		repeated := append(slices.Clone(records), rapid.SliceOfN(rapid.SampledFrom(records), 0, 10).Draw(t, "repeats")...)
		tr := newTracker("i-0")
		appendAll(t, tr, rapid.Permutation(repeated).Draw(t, "order"))
		if got, want := members(tr), expectedMembers(records); !slices.Equal(got, want) || tr.Len() != len(want) {
			t.Fatalf("members %v, want %v", got, want)
		}
	})
}

// Guards against indexes and cached lists that miss a change of the table.
func TestIndexes(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		tr := newTracker("i-0")
		var records []tracker.Record
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			records = append(records, drawRecord(t))
			appendAll(t, tr, records[len(records)-1:])
			checkIndexes(t, tr, expectedMembers(records))
		}
	})
}

func checkIndexes(t *rapid.T, tr *tracker.Tracker, want []tracker.Member) {
	if got := members(tr); !slices.Equal(got, want) {
		t.Fatalf("members %v, want %v", got, want)
	}
	fresh := newTracker("i-0")
	for _, m := range want {
		appendAll(t, fresh, []tracker.Record{tracker.Join{Member: m}})
	}
	watchers, remotes := map[identifier.InstanceID]int{}, map[identifier.InstanceID]int{}
	domains := map[identifier.FailureDomain]int{}
	for _, m := range want {
		domains[m.FailureDomain]++
		if e, ok := tr.Lookup(m.Instance); !ok || e.Member != m {
			t.Fatalf("lookup of %s gave %v", m.Instance, e)
		}
		remote := 0
		for _, w := range tr.Watched(m.Instance) {
			if w.Instance == m.Instance || w.Region != m.Region {
				t.Fatalf("%s watches %s", m.Instance, w.Instance)
			}
			if w.FailureDomain != m.FailureDomain {
				remote++
				continue
			}
			watchers[w.Instance]++
		}
		remotes[m.Instance] = remote
	}
	for _, m := range want {
		if n := min(2, len(want)-domains[m.FailureDomain]); remotes[m.Instance] != n {
			t.Fatalf("%s watches %d members of other failure domains, want %d", m.Instance, remotes[m.Instance], n)
		}
		if n := min(3, domains[m.FailureDomain]-1); watchers[m.Instance] != n {
			t.Fatalf("%s has %d watchers, want %d", m.Instance, watchers[m.Instance], n)
		}
	}
	ranks := map[int]bool{}
	for domain, n := range domains {
		readers := tr.Readers(domain)
		if !slices.Equal(readers, fresh.Readers(domain)) || len(readers) != min(3, n) {
			t.Fatalf("readers of %s are %v", domain, readers)
		}
		for _, m := range readers {
			rank, ok := tr.ReaderRank(m.Instance)
			if !ok || ranks[rank] {
				t.Fatalf("rank %d of %s is missing or not unique", rank, m.Instance)
			}
			ranks[rank] = true
			for _, r := range tr.Relays(domain, m.Instance) {
				if r.Instance == m.Instance {
					t.Fatalf("%s relays to itself", m.Instance)
				}
			}
		}
	}
}

// Guards against a restored table that differs from that of a daemon that folded
// every record, and against an older checkpoint that replaces a newer table.
func TestCheckpointAtAnyOffset(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 2, 30).Draw(t, "records")
		cut := rapid.IntRange(1, len(records)-1).Draw(t, "cut")
		full, restarted := newTracker("i-0"), newTracker("i-0")
		appendAll(t, full, records[:cut])
		middle, err := full.Checkpoint()
		if err != nil {
			t.Fatal(err)
		}
		if restored, err := restarted.Restore(middle); !restored || err != nil {
			t.Fatalf("restoring a checkpoint gave %v, %v", restored, err)
		}
		for _, r := range records[cut:] {
			folded, _ := full.Folded()
			payload := encode(t, []tracker.Record{r})
			if err := cmp.Or(full.Apply(folded+1, payload), restarted.Apply(folded+1, payload)); err != nil {
				t.Fatal(err)
			}
		}
		want, _ := full.Checkpoint()
		if got, _ := restarted.Checkpoint(); !bytes.Equal(got, want) {
			t.Fatalf("tables differ: %v and %v", members(restarted), members(full))
		}
		if restored, err := full.Restore(middle); restored || err != nil {
			t.Fatalf("restoring an older checkpoint gave %v, %v", restored, err)
		}
		if after, _ := full.Checkpoint(); !bytes.Equal(after, want) {
			t.Fatal("an older checkpoint changed the table")
		}
	})
}

// Guards against a fold that skips an offset, folds one twice, or stops at a
// payload that cannot be decoded.
func TestOffsets(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		tr := newTracker("i-0")
		next := identifier.Offset(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			offset := identifier.Offset(rapid.IntRange(0, 10).Draw(t, "offset"))
			payload := rapid.SampledFrom([]string{"", "{", `{"records":[{"kind":"join"}]}`, `{"records":[{"kind":"new"}]}`}).Draw(t, "payload")
			err := tr.Apply(offset, []byte(payload))
			if tracker.Gap.Has(err) != (offset > next) || (err != nil) != (offset > next) {
				t.Fatalf("offset %d after %d gave %v", offset, next, err)
			}
			if offset == next {
				next++
			}
			if folded, ok := tr.Folded(); ok != (next > 0) || ok && folded != next-1 {
				t.Fatalf("folded %d, %v; next %d", folded, ok, next)
			}
		}
	})
}
