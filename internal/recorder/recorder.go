// Package recorder writes log lines without blocking requests. Lines pass through a
// bounded buffer to one writer goroutine. Their rate is limited, with a separate budget
// for the info level and above. Lines that exceed the budget or the buffer are dropped
// and counted.
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

// Config limits the log. Zero fields get their default.
type Config struct {
	// Level is the lowest level that is written.
	Level slog.Level
	// LinesPerSecond limits lines below the info level, ImportantPerSecond those of
	// the info level and above, which may use both budgets.
	LinesPerSecond     float64
	ImportantPerSecond float64
	// Buffered is the number of lines that are buffered for a slow reader.
	Buffered int
}

// A line has about 300 bytes, so the defaults limit the log to 45 KB/s.
const (
	defaultLinesPerSecond     = 30
	defaultImportantPerSecond = 120
	defaultBuffered           = 1024
	// batchBytes is the batch size from which no more lines are added.
	batchBytes = 16 << 10
	// reportInterval is the interval at which dropped lines are reported.
	reportInterval = time.Second
)

// Recorder writes log lines. It is safe for concurrent use.
type Recorder struct {
	config             Config
	writer             io.Writer
	lines              chan []byte
	droppedSinceReport atomic.Uint64
	droppedTotal       *metrics.Counter
	stop               chan struct{}
	stopped            chan struct{}

	mu        sync.Mutex
	ordinary  bucket
	important bucket
}

// New returns a recorder that writes until Close.
func New(writer io.Writer, config Config) *Recorder {
	if config.LinesPerSecond <= 0 {
		config.LinesPerSecond = defaultLinesPerSecond
	}
	if config.ImportantPerSecond <= 0 {
		config.ImportantPerSecond = defaultImportantPerSecond
	}
	if config.Buffered <= 0 {
		config.Buffered = defaultBuffered
	}
	r := &Recorder{
		config: config, writer: writer, lines: make(chan []byte, config.Buffered),
		droppedTotal: metrics.GetOrCreateCounter("magnoliaknot_log_lines_dropped_total"),
		stop:         make(chan struct{}), stopped: make(chan struct{}),
		ordinary: newBucket(config.LinesPerSecond), important: newBucket(config.ImportantPerSecond),
	}
	go r.run()
	return r
}

// Handler returns a slog handler that writes JSON lines.
func (r *Recorder) Handler() slog.Handler {
	return &handler{recorder: r, inner: slog.NewJSONHandler(enqueuer{r}, &slog.HandlerOptions{Level: r.config.Level})}
}

// Close writes the next batch of buffered lines and stops. It waits for at most one
// second.
func (r *Recorder) Close() {
	close(r.stop)
	select {
	case <-r.stopped:
	case <-time.After(reportInterval): // The reader is blocked.
	}
}

// allow charges a line to the budget of its level and reports whether it fits.
func (r *Recorder) allow(level slog.Level) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if level >= slog.LevelInfo {
		return r.important.take(now) || r.ordinary.take(now)
	}
	return r.ordinary.take(now)
}

func (r *Recorder) drop() {
	r.droppedSinceReport.Add(1)
	r.droppedTotal.Inc()
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
			_, _ = r.writer.Write(batch) // A failed log write cannot be reported anywhere.
		case <-ticker.C:
			if dropped := r.droppedSinceReport.Swap(0); dropped > 0 {
				report.Warn("log lines dropped", "lines", dropped)
			}
		case <-r.stop:
			batch = r.collect(batch[:0])
			_, _ = r.writer.Write(batch)
			return
		}
	}
}

// collect adds the buffered lines to a batch until it is full.
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

// enqueuer puts each line into the buffer without blocking.
type enqueuer struct{ recorder *Recorder }

// Write enqueues one line, or drops it if the buffer is full.
func (e enqueuer) Write(line []byte) (int, error) {
	select {
	case e.recorder.lines <- append([]byte(nil), line...):
	default:
		e.recorder.drop()
	}
	return len(line), nil
}

// handler checks the budget before a line is encoded.
type handler struct {
	recorder *Recorder
	inner    slog.Handler
}

// Enabled reports whether lines of a level are written.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle writes a line if the budget allows it.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if !h.recorder.allow(record.Level) {
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
