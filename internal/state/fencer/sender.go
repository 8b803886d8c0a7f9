package fencer

import (
	"cmp"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// record is one attempt; 16 bytes.
type record struct {
	sequence uint64
	used     uint32 // seconds
	state    State
}

func (r *record) touch(now timer.Millis) { r.used = uint32(now / timer.Second) }

// live reports whether the admitter still holds the attempt.
func (r *record) live() bool { return r.state == Queued || r.state == Running }

// sender holds the attempts of one sending incarnation.
type sender struct {
	// records ascend by sequence. Sequences arrive almost in order, so an
	// insertion is nearly always at the end.
	records []record
	// floor is the lowest sequence that may still be admitted.
	floor uint64
	// ran is one more than the highest forgotten sequence that ran. Below it an
	// attempt without record may have run.
	ran  uint64
	used timer.Millis
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

// mayHaveRun reports whether an attempt without record may have run.
func (s *sender) mayHaveRun(sequence uint64) bool { return sequence < s.ran }

// raise fences all attempts without record up to a sequence.
func (s *sender) raise(sequence uint64) { s.floor = max(s.floor, sequence+1) }

// evict forgets up to n of the lowest records that have ended and raises the
// floor above them. It returns how many it forgot.
func (s *sender) evict(n int) int {
	kept, removed := s.records[:0], 0
	for _, r := range s.records {
		if removed == n || r.live() {
			kept = append(kept, r)
			continue
		}
		removed++
		s.raise(r.sequence)
		if r.state == Finished {
			s.ran = max(s.ran, r.sequence+1)
		}
	}
	s.records = kept
	if cap(kept) > 64 && len(kept) < cap(kept)/4 {
		s.records = slices.Clone(kept)
	}
	return removed
}

// expired counts the records at the front that have ended and are past
// retention. Those behind them wait, so that the floor does not pass a record
// in use.
func (s *sender) expired(now, retention timer.Millis) int {
	limit := (now - retention) / timer.Second
	for i := range s.records {
		if s.records[i].live() || timer.Millis(s.records[i].used) >= limit {
			return i
		}
	}
	return len(s.records)
}

func (s *sender) live() bool {
	return slices.ContainsFunc(s.records, func(r record) bool { return r.live() })
}
