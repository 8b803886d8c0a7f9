package logserver

import (
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Limits of the streams, their names and one read.
const (
	maxStreams      = 4096
	maxNameBytes    = 128
	maxReadRecords  = 10000
	maxReadBytes    = 8 << 20
	defaultReadSize = 100
)

// StoreConfig limits what a Store retains and accepts. A zero retention, record
// count or append rate sets no limit.
type StoreConfig struct {
	Retention        timer.Millis
	MaxRecords       int // per stream
	MaxRecordBytes   int
	AppendsPerSecond int // over all streams
}

// Store holds the streams. It is not safe for concurrent use.
type Store struct {
	config  StoreConfig
	streams map[appender.Stream]*stream
	bucket  tokenBucket
	stats   StoreStats
}

// StoreStats counts the operations of a Store since its creation.
type StoreStats struct {
	Appends      uint64 `json:"appends"`
	AppendBytes  uint64 `json:"append_bytes"`
	RateRefusals uint64 `json:"rate_refusals"`
	Invalid      uint64 `json:"invalid"`
	Reads        uint64 `json:"reads"`
	ExpiredReads uint64 `json:"expired_reads"`
	ReadRecords  uint64 `json:"read_records"`
	ReadBytes    uint64 `json:"read_bytes"`
}

// StreamStats describes the retained part of one stream.
type StreamStats struct {
	First   identifier.Offset `json:"first"`
	Next    identifier.Offset `json:"next"`
	Records int               `json:"records"`
}

// NewStore returns an empty store.
func NewStore(config StoreConfig) *Store {
	return &Store{
		config:  config,
		streams: make(map[appender.Stream]*stream),
		bucket:  newTokenBucket(config.AppendsPerSecond),
	}
}

// Append adds a record to a stream and takes ownership of the payload. It
// returns an error of class Invalid or RateExceeded if it added nothing.
func (s *Store) Append(now timer.Millis, name appender.Stream, payload []byte) (identifier.Offset, error) {
	if err := s.checkAppend(name, payload); err != nil {
		s.stats.Invalid++
		return 0, err
	}
	if !s.bucket.take(now) {
		s.stats.RateRefusals++
		return 0, RateExceeded.New("more than %d appends a second", s.config.AppendsPerSecond)
	}
	target := s.streams[name]
	if target == nil {
		target = &stream{}
		s.streams[name] = target
	}
	offset := target.append(now, payload)
	s.expire(now, target)
	s.stats.Appends++
	s.stats.AppendBytes += uint64(len(payload))
	return offset, nil
}

func (s *Store) checkAppend(name appender.Stream, payload []byte) error {
	if err := checkName(name); err != nil {
		return err
	}
	if len(payload) == 0 {
		return Invalid.New("record is empty")
	}
	if len(payload) > s.config.MaxRecordBytes {
		return Invalid.New("record has %d bytes, at most %d are allowed", len(payload), s.config.MaxRecordBytes)
	}
	if s.streams[name] == nil && len(s.streams) >= maxStreams {
		return Invalid.New("the limit of %d streams is reached", maxStreams)
	}
	return nil
}

// Read returns up to limit records from an offset on. A stream that does not
// exist is read as empty. It returns *appender.ExpiredError for an offset below
// the oldest retained one.
func (s *Store) Read(now timer.Millis, name appender.Stream, from identifier.Offset, limit int) (appender.Batch, error) {
	s.stats.Reads++
	if err := checkName(name); err != nil {
		s.stats.Invalid++
		return appender.Batch{}, err
	}
	source := s.streams[name]
	if source == nil {
		return appender.Batch{}, nil
	}
	s.expire(now, source)
	if from < source.first() {
		s.stats.ExpiredReads++
		return appender.Batch{}, &appender.ExpiredError{First: source.first(), Next: source.next}
	}
	batch := source.read(from, min(limit, maxReadRecords))
	for _, record := range batch.Records {
		s.stats.ReadBytes += uint64(len(record.Payload))
	}
	s.stats.ReadRecords += uint64(len(batch.Records))
	return batch, nil
}

// Expire drops all but the newest keep records of one stream, or of every
// stream if the name is empty.
func (s *Store) Expire(name appender.Stream, keep int) {
	for current, target := range s.streams {
		if name == "" || name == current {
			target.keepNewest(keep)
		}
	}
}

// Stats returns the counters and the state of each stream.
func (s *Store) Stats(now timer.Millis) (StoreStats, map[appender.Stream]StreamStats) {
	streams := make(map[appender.Stream]StreamStats, len(s.streams))
	for name, target := range s.streams {
		s.expire(now, target)
		streams[name] = StreamStats{First: target.first(), Next: target.next, Records: len(target.records)}
	}
	return s.stats, streams
}

func (s *Store) expire(now timer.Millis, target *stream) {
	if s.config.MaxRecords > 0 {
		target.keepNewest(s.config.MaxRecords)
	}
	if s.config.Retention > 0 {
		target.dropBefore(now - s.config.Retention)
	}
}

func checkName(name appender.Stream) error {
	if name == "" || len(name) > maxNameBytes {
		return Invalid.New("stream name must have 1 to %d bytes", maxNameBytes)
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return Invalid.New("stream name %q has characters other than a-z, 0-9, -, _ and .", string(name))
		}
	}
	return nil
}
