// Package appender is the client of the platform's append-only log service.
//
// Log is the interface that the coordination layer uses. Client implements it for
// a log service with HTTP and JSON.
//
// # Usage
//
//	log := appender.NewClient(appender.Config{BaseURL: "http://127.0.0.1:7000"})
//	offset, err := log.Append(ctx, appender.Configuration, payload)
//	if appender.Refused.Has(err) {
//		// The record was not appended.
//	}
package appender

import (
	"context"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error classes of a Log.
var (
	// Error is an error after which an append may have taken effect.
	Error = errs.Class("log")
	// Refused is a definite refusal: the record was not appended.
	Refused = errs.Class("log refused")
)

// Stream names a sequence of records with its own offsets.
type Stream string

// Streams of a deployment.
const (
	Configuration Stream = "configuration"
	Membership    Stream = "membership"
	Ownership     Stream = "ownership"
)

// Record is one record of a stream.
type Record struct {
	Offset  identifier.Offset
	Payload []byte
}

// Batch is the result of a read. First is the oldest offset that the log retains,
// Next the offset after its newest record.
type Batch struct {
	Records []Record
	First   identifier.Offset
	Next    identifier.Offset
}

// ExpiredError is returned for a read that starts below the oldest retained offset.
type ExpiredError struct {
	First identifier.Offset
	Next  identifier.Offset
}

// Error formats the error.
func (e *ExpiredError) Error() string { return "log: records before the oldest offset have expired" }

// Log is the platform's log service. Offsets start at 0.
type Log interface {
	// Append adds a record. Unless the error is of class Refused, a failed
	// append may have taken effect.
	Append(ctx context.Context, stream Stream, payload []byte) (identifier.Offset, error)
	// Read returns up to limit records from an offset on and waits up to wait
	// for the first. It returns *ExpiredError below the oldest retained offset.
	Read(ctx context.Context, stream Stream, from identifier.Offset, limit int, wait timer.Millis) (Batch, error)
}
