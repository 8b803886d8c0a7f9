package follower

import (
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

const (
	// Bounds of the raw records that are kept for other daemons. A follower that
	// needs older records reads the log.
	maxWindowRecords = 2048
	maxWindowBytes   = 4 << 20
	// maxAnswerBytes bounds the records of one answer, except that one record is
	// always sent.
	maxAnswerBytes = 1 << 20
)

// window holds the newest records, without gaps.
type window struct {
	first   identifier.Offset
	records []appender.Record
	bytes   int
}

// newWindow returns an empty window that starts at the next offset.
func newWindow(next identifier.Offset) *window { return &window{first: next} }

func (w *window) next() identifier.Offset { return w.first + identifier.Offset(len(w.records)) }

// push adds the record at next and drops the oldest records beyond the bounds.
func (w *window) push(r appender.Record) {
	w.records = append(w.records, r)
	w.bytes += len(r.Payload)
	for len(w.records) > maxWindowRecords || w.bytes > maxWindowBytes {
		w.bytes -= len(w.records[0].Payload)
		w.records[0] = appender.Record{}
		w.records = w.records[1:]
		w.first++
	}
}

// from returns up to limit records that begin at an offset in the window.
func (w *window) from(offset identifier.Offset, limit int) []appender.Record {
	if offset < w.first || offset >= w.next() {
		return nil
	}
	list := w.records[offset-w.first:]
	size := 0
	for i, r := range list {
		size += len(r.Payload)
		if i > 0 && (i >= limit || size > maxAnswerBytes) {
			list = list[:i]
			break
		}
	}
	return append([]appender.Record(nil), list...)
}
