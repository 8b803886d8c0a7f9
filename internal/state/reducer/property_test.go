package reducer_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/reducer"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// drawConstructor draws a constructor with bounds that the stream can exceed or
// with the real ones.
func drawConstructor(t *rapid.T) func() *reducer.Reducer {
	if rapid.Bool().Draw(t, "real bounds") {
		return func() *reducer.Reducer { return reducer.New(reducer.Config{}) }
	}
	return func() *reducer.Reducer { return reducer.NewWithBounds(3, 4, 5) }
}

// Guards against daemons that disagree after the same records, whether they
// start at offset 0 or from any checkpoint, read late checkpoints or read
// records again, and against a state hash that depends on how the state was
// reached.
func TestDaemonsAgree(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		create := drawConstructor(t)
		s := drawStream(t, create)
		last := len(s.records) - 1
		daemon := create()
		for daemon.State().Next() <= identifier.Offset(last) {
			next := int(daemon.State().Next())
			if rapid.IntRange(0, 3).Draw(t, "restore") == 0 {
				at := rapid.IntRange(0, last).Draw(t, "checkpoint")
				moved, err := daemon.Restore(s.checkpoints[at])
				if err != nil || moved != (at >= next) {
					t.Fatalf("restore of the checkpoint at offset %d at next offset %d: moved %v, error %v", at, next, moved, err)
				}
				continue
			}
			offset := max(0, next-rapid.IntRange(0, 2).Draw(t, "again"))
			result := mustApply(t, daemon, identifier.Offset(offset), s.records[offset])
			if seen, ok := result.(reducer.CheckpointSeen); ok && seen.Compared && !seen.Matches {
				t.Fatalf("false divergence at offset %d: %+v", offset, seen)
			}
			if offset == next && !bytes.Equal(s.checkpoints[next], mustCheckpoint(t, daemon)) {
				t.Fatalf("checkpoints differ at offset %d:\n%s\n%s", next, s.checkpoints[next], mustCheckpoint(t, daemon))
			}
		}
	})
}

// model is a simple reference implementation of the fold: it keeps every id and
// checks every sheet in full.
type model struct {
	version  identifier.Version
	sheet    *parser.Sheet
	seen     map[identifier.ChangeID]bool
	returned map[identifier.FailureDomain]timer.Millis
}

func (m *model) fold(record []byte) {
	var change reducer.Change
	var header struct{ ID identifier.ChangeID }
	_ = json.Unmarshal(record, &header)
	if m.seen[header.ID] {
		return
	}
	if err := json.Unmarshal(record, &change); err != nil {
		return
	}
	m.seen[change.ID] = true
	unchecked := *m.sheet
	sheet, err := parser.Apply(&unchecked, change.Edits)
	if err != nil || change.BaseVersion != m.version {
		return
	}
	for _, domain := range m.sheet.FailureDomains {
		after, kept := sheet.FailureDomain(domain.Name)
		switch {
		case !kept:
			delete(m.returned, domain.Name)
		case domain.OutAt(change.PublishedAt) && !after.OutAt(change.PublishedAt):
			m.returned[domain.Name] = change.PublishedAt
		}
	}
	m.version++
	m.sheet = sheet
}

// Guards against a change that is accepted although another came first, that is
// counted twice, that breaks a rule, or that returns a failure domain without a
// ramp.
func TestFirstChangeWins(t *testing.T) {
	accepted := 0
	tester.Check(t, func(t *rapid.T) {
		create := func() *reducer.Reducer { return reducer.New(reducer.Config{}) }
		daemon := create()
		reference := &model{
			sheet: new(parser.Sheet), seen: make(map[identifier.ChangeID]bool),
			returned: make(map[identifier.FailureDomain]timer.Millis),
		}
		for offset, record := range drawStream(t, create).records {
			result := mustApply(t, daemon, identifier.Offset(offset), record)
			reference.fold(record)
			state := daemon.State()
			if _, ok := result.(reducer.Accepted); ok {
				accepted++
			}
			if state.Version != reference.version || len(parser.Diff(state.Sheet, reference.sheet)) != 0 {
				t.Fatalf("at offset %d want version %d, got %+v", offset, reference.version, result)
			}
			if len(state.ReturnedAt) != len(reference.returned) {
				t.Fatalf("at offset %d want returns %v, got %v", offset, reference.returned, state.ReturnedAt)
			}
			for domain, at := range reference.returned {
				if state.ReturnedAt[domain] != at {
					t.Fatalf("at offset %d want returns %v, got %v", offset, reference.returned, state.ReturnedAt)
				}
			}
		}
	})
	if accepted < 200 {
		t.Fatalf("only %d changes were accepted", accepted)
	}
}

// Guards against a state that moves back, a snapshot that changes after it was
// taken, and a damaged checkpoint that is restored.
func TestStateNeverGoesBack(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		create := drawConstructor(t)
		s := drawStream(t, create)
		daemon := create()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := daemon.State()
			sheet, err := json.Marshal(before)
			if err != nil {
				t.Fatal(err)
			}
			at := rapid.IntRange(0, len(s.records)-1).Draw(t, "offset")
			checkpoint := s.checkpoints[at]
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				moved, err := daemon.Restore(checkpoint)
				if err != nil || moved != (daemon.State().Next() > before.Next()) {
					t.Fatalf("restore of the checkpoint at offset %d: moved %v, error %v", at, moved, err)
				}
			case 1:
				damaged := bytes.Replace(checkpoint, []byte(`"max_in_flight":4`), []byte(`"max_in_flight":1`), 1)
				if moved, err := daemon.Restore(damaged); !bytes.Equal(damaged, checkpoint) && (moved || err == nil && at >= int(before.Next())) {
					t.Fatalf("damaged checkpoint: moved %v, error %v", moved, err)
				}
			default:
				if next := int(before.Next()); rapid.IntRange(0, 3).Draw(t, "out of order") > 0 && next < len(s.records) {
					at = next
				}
				if _, err := daemon.Apply(identifier.Offset(at), s.records[at]); (err != nil) != (at > int(before.Next())) {
					t.Fatalf("record at offset %d at next offset %d: error %v", at, before.Next(), err)
				}
			}
			after := daemon.State()
			if after.Version < before.Version || after.Next() < before.Next() {
				t.Fatalf("moved back from version %d, next offset %d to version %d, next offset %d", before.Version, before.Next(), after.Version, after.Next())
			}
			if again, _ := json.Marshal(before); !bytes.Equal(sheet, again) {
				t.Fatal("a snapshot has changed")
			}
		}
	})
}
