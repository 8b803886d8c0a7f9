package recorder_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/recorder"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
)

func TestRecorder(t *testing.T) { tester.RunSpecs(t, "recorder") }

// sink collects the written data.
type sink struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (s *sink) Write(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Write(data)
}

func (s *sink) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.data.String()), "\n")
}

var _ = Describe("a recorder", func() {
	It("guards against log calls that block while the log is not read", func() {
		reader, writer := io.Pipe() // Never read from.
		defer reader.Close()
		r := recorder.New(writer, recorder.Config{LinesPerSecond: 1e9, Buffered: 8})
		logger := slog.New(r.Handler())
		done := make(chan struct{})
		go func() {
			for i := range 10_000 {
				logger.Info("line", "i", i)
			}
			close(done)
		}()
		Eventually(done).WithTimeout(5 * time.Second).Should(BeClosed())
	})

	It("guards against debug lines that use up the budget of warnings, and drops that are not reported", func() {
		out := &sink{}
		r := recorder.New(out, recorder.Config{Level: slog.LevelDebug, LinesPerSecond: 5, ImportantPerSecond: 50})
		logger := slog.New(r.Handler())
		for i := range 1000 {
			logger.Debug("success", "i", i)
		}
		for i := range 40 {
			logger.Warn("failure", "i", i)
		}
		Eventually(func() string { return fmt.Sprint(out.lines()) }).WithTimeout(5 * time.Second).
			Should(ContainSubstring(`"log lines dropped"`))
		r.Close()
		failures, successes := 0, 0
		for _, line := range out.lines() {
			switch {
			case strings.Contains(line, `"failure"`):
				failures++
			case strings.Contains(line, `"success"`):
				successes++
			}
		}
		Expect(failures).To(Equal(40))
		Expect(successes).To(BeNumerically("<=", 10))
	})

	It("guards against buffered lines that are lost on close", func() {
		out := &sink{}
		r := recorder.New(out, recorder.Config{})
		slog.New(r.Handler()).Info("last")
		r.Close()
		Expect(out.lines()).To(ContainElement(ContainSubstring(`"last"`)))
	})
})
