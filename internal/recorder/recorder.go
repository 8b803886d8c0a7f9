// Package recorder writes log lines without ever holding up a request. Lines go
// through a bounded buffer to one writer; a budget bounds their number, with a
// part of its own for warnings and worse. What does not fit is dropped and counted.
//
// # Usage
//
//	r := recorder.New(os.Stdout, recorder.Config{Level: slog.LevelDebug})
//	defer r.Close()
//	logger := slog.New(r.Handler())
package recorder

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Config bounds the log. Zero fields take their default.
type Config struct {
	// Level is the least level that is written.
	Level slog.Level
	// LinesPerSecond bounds lines of ordinary decisions, ImportantPerSecond those
	// of information and worse.
	LinesPerSecond     float64
	ImportantPerSecond float64
	// Buffered is the number of lines that wait for a slow reader.
	Buffered int
}

// A line has about 300 bytes, so that the defaults bound the log to 45 KB a second.
const (
	defaultLines     = 30
	defaultImportant = 120
	defaultBuffered  = 1024
	// batchBytes bounds what is written by one call.
	batchBytes = 16 << 10
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
)

// Recorder writes log lines. It is safe for concurrent use.
type Recorder struct {
	config  Config
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	total   *metrics.Counter
	stop    chan struct{}
	stopped chan struct{}

	mu       sync.Mutex
	ordinary bucket
	critical bucket
}

// New returns a recorder that writes until Close.
func New(writer io.Writer, config Config) *Recorder {
	if config.LinesPerSecond <= 0 {
		config.LinesPerSecond = defaultLines
	}
	if config.ImportantPerSecond <= 0 {
		config.ImportantPerSecond = defaultImportant
	}
	if config.Buffered <= 0 {
		config.Buffered = defaultBuffered
	}
	r := &Recorder{
		config: config, writer: writer, lines: make(chan []byte, config.Buffered),
		total: metrics.GetOrCreateCounter("magnoliaknot_log_lines_dropped_total"),
		stop:  make(chan struct{}), stopped: make(chan struct{}),
		ordinary: newBucket(config.LinesPerSecond), critical: newBucket(config.ImportantPerSecond),
	}
	go r.run()
	return r
}

// Handler returns a handler for slog that writes JSON lines.
func (r *Recorder) Handler() slog.Handler {
	return &handler{recorder: r, inner: slog.NewJSONHandler(enqueuer{r}, &slog.HandlerOptions{Level: r.config.Level})}
}

// Close writes what is buffered and stops, within a second at most.
func (r *Recorder) Close() {
	close(r.stop)
	select {
	case <-r.stopped:
	case <-time.After(reportInterval): // The reader does not read.
	}
}

// admits takes a line from the budget of its level.
func (r *Recorder) admits(level slog.Level) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if level >= slog.LevelInfo {
		return r.critical.take(now) || r.ordinary.take(now)
	}
	return r.ordinary.take(now)
}

func (r *Recorder) drop() {
	r.dropped.Add(1)
	r.total.Inc()
}

func (r *Recorder) run() {
	defer close(r.stopped)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	report := slog.New(slog.NewJSONHandler(r.writer, nil))
	batch := make([]byte, 0, batchBytes)
	for {
		select {
		case line := <-r.lines:
			batch = r.collect(append(batch[:0], line...))
			_, _ = r.writer.Write(batch) // Nobody is left to tell of a failed log.
		case <-ticker.C:
			if dropped := r.dropped.Swap(0); dropped > 0 {
				report.Warn("log lines dropped", "lines", dropped)
			}
		case <-r.stop:
			batch = r.collect(batch[:0])
			_, _ = r.writer.Write(batch)
			return
		}
	}
}

// collect adds the lines that wait.
func (r *Recorder) collect(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-r.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// enqueuer passes each line on without waiting.
type enqueuer struct{ recorder *Recorder }

// Write takes one line.
func (e enqueuer) Write(line []byte) (int, error) {
	select {
	case e.recorder.lines <- append([]byte(nil), line...):
	default:
		e.recorder.drop()
	}
	return len(line), nil
}

// handler applies the budget before a line is encoded.
type handler struct {
	recorder *Recorder
	inner    slog.Handler
}

// Enabled reports whether a level is written at all.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle writes a line if the budget allows it.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if !h.recorder.admits(record.Level) {
		h.recorder.drop()
		return nil
	}
	return h.inner.Handle(ctx, record)
}

// WithAttrs returns a handler that adds attributes.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.recorder, h.inner.WithAttrs(attrs)}
}

// WithGroup returns a handler that adds a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.recorder, h.inner.WithGroup(name)}
}
