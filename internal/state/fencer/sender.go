package fencer

import (
	"cmp"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// record is one attempt; it takes 16 bytes.
type record struct {
	sequence uint64
	used     uint32 // seconds
	state    State
}

func (r *record) touch(now timer.Millis) { r.used = uint32(now / timer.Second) }

// active reports whether the attempt is still queued or running.
func (r *record) active() bool { return r.state == Queued || r.state == Running }

// sender holds the attempts of one sending incarnation.
type sender struct {
	// records is sorted by sequence. Sequences arrive almost in order, so nearly
	// all insertions are at the end.
	records []record
	// floor is the lowest sequence that may still be admitted.
	floor uint64
	// ranBelow is one more than the highest sequence that ran and whose record was
	// removed. An attempt below it without a record may have run.
	ranBelow uint64
	used     timer.Millis
}

func (s *sender) position(sequence uint64) (int, bool) {
	if n := len(s.records); n == 0 || s.records[n-1].sequence < sequence {
		return n, false
	}
	return slices.BinarySearchFunc(s.records, sequence, func(r record, target uint64) int {
		return cmp.Compare(r.sequence, target)
	})
}

func (s *sender) find(sequence uint64) *record {
	i, found := s.position(sequence)
	if !found {
		return nil
	}
	return &s.records[i]
}

func (s *sender) insert(now timer.Millis, sequence uint64, state State) {
	i, _ := s.position(sequence)
	r := record{sequence: sequence, state: state}
	r.touch(now)
	s.records = slices.Insert(s.records, i, r)
}

// mayHaveRun reports whether an attempt without a record may have run.
func (s *sender) mayHaveRun(sequence uint64) bool { return sequence < s.ranBelow }

// raiseFloor fences all attempts without a record up to a sequence.
func (s *sender) raiseFloor(sequence uint64) { s.floor = max(s.floor, sequence+1) }

// evict removes up to n records that have ended, lowest sequences first, and
// raises the floor above them. It returns the number of removed records.
func (s *sender) evict(n int) int {
	kept, removed := s.records[:0], 0
	for _, r := range s.records {
		if removed == n || r.active() {
			kept = append(kept, r)
			continue
		}
		removed++
		s.raiseFloor(r.sequence)
		if r.state == Finished {
			s.ranBelow = max(s.ranBelow, r.sequence+1)
		}
	}
	s.records = kept
	if cap(kept) > 64 && len(kept) < cap(kept)/4 {
		s.records = slices.Clone(kept)
	}
	return removed
}

// expired counts the leading records that have ended and are past retention.
// Records after the first one in use are not counted, so that the floor is not
// raised above it.
func (s *sender) expired(now, retention timer.Millis) int {
	limit := (now - retention) / timer.Second
	for i := range s.records {
		if s.records[i].active() || timer.Millis(s.records[i].used) >= limit {
			return i
		}
	}
	return len(s.records)
}

func (s *sender) hasActive() bool {
	return slices.ContainsFunc(s.records, func(r record) bool { return r.active() })
}
