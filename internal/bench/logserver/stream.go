package logserver

import (
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

type storedRecord struct {
	appendedAt timer.Millis
	payload    []byte
}

// stream is a sequence of records whose oldest part may have been dropped.
type stream struct {
	records []storedRecord
	next    identifier.Offset
}

func (s *stream) first() identifier.Offset { return s.next - identifier.Offset(len(s.records)) }

func (s *stream) append(now timer.Millis, payload []byte) identifier.Offset {
	s.records = append(s.records, storedRecord{appendedAt: now, payload: payload})
	s.next++
	return s.next - 1
}

func (s *stream) read(from identifier.Offset, limit int) appender.Batch {
	batch := appender.Batch{First: s.first(), Next: s.next}
	size := 0
	for offset := from; offset < s.next && len(batch.Records) < limit; offset++ {
		payload := s.records[offset-s.first()].payload
		size += len(payload)
		if size > maxReadBytes && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, appender.Record{Offset: offset, Payload: payload})
	}
	return batch
}

func (s *stream) keepNewest(count int) { s.drop(len(s.records) - max(count, 0)) }

// dropBefore drops records appended at or before the given time.
func (s *stream) dropBefore(limit timer.Millis) {
	count := 0
	for count < len(s.records) && s.records[count].appendedAt <= limit {
		count++
	}
	s.drop(count)
}

func (s *stream) drop(count int) {
	if count <= 0 {
		return
	}
	// The slice keeps its backing array until it grows, so the payloads are
	// released here.
	clear(s.records[:count])
	s.records = s.records[count:]
}
