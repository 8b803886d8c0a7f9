// Package checkpointer appends checkpoints to a stream of the log, so that a
// newcomer never needs expired records.
//
// A checkpoint is due after 1,000 records or a quarter of the retention. The log
// reader with the lowest rank writes it; the others write only if it is late.
// Duplicate checkpoints are harmless, since a checkpoint has no effect on a daemon
// that has already folded the offsets that it covers. Schedule decides without I/O;
// Checkpointer does the I/O.
//
// # Usage
//
//	c := checkpointer.New(checkpointer.Config{Stream: appender.Membership, ...})
//	go c.Run(ctx)
package checkpointer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// appendTimeout bounds one append of a checkpoint of about 1 MB.
const appendTimeout = 10 * timer.Second

// Config configures a Checkpointer. All fields but Logger are required.
type Config struct {
	Stream    appender.Stream
	Log       appender.Log
	Clock     timer.Clock
	Rand      *rand.Rand
	Retention timer.Millis
	// Progress returns the position of this daemon in the stream.
	Progress func() Progress
	// Checkpoint encodes the folded state as a payload of the stream.
	Checkpoint func() ([]byte, error)
	Logger     *slog.Logger
}

// Checkpointer runs a Schedule. It is not safe for concurrent use.
type Checkpointer struct {
	config   Config
	schedule *Schedule
}

// New returns a checkpointer for a stream.
func New(config Config) *Checkpointer {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Checkpointer{
		config:   config,
		schedule: NewSchedule(config.Clock.Now(), config.Retention, config.Rand),
	}
}

// Run writes checkpoints until ctx ends.
func (c *Checkpointer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timeout := time.NewTimer(c.RunOnce(ctx).Duration())
		select {
		case <-ctx.Done():
		case <-timeout.C:
		}
		timeout.Stop()
	}
}

// RunOnce runs one step of the schedule and returns the time to wait before the next
// step.
func (c *Checkpointer) RunOnce(ctx context.Context) timer.Millis {
	now := c.config.Clock.Now()
	var pause timer.Millis
	for _, action := range c.schedule.Step(now, Wakeup{Progress: c.config.Progress()}) {
		switch a := action.(type) {
		case Write:
			err := c.write(ctx)
			if err != nil {
				c.config.Logger.Warn("checkpoint not written to the stream; trying again later", "stream", c.config.Stream, "error", err)
			}
			c.schedule.Step(c.config.Clock.Now(), Written{Succeeded: err == nil})
		case Sleep:
			pause = a.Until - now
		}
	}
	return pause
}

func (c *Checkpointer) write(ctx context.Context) error {
	payload, err := c.config.Checkpoint()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	_, err = c.config.Log.Append(ctx, c.config.Stream, payload)
	return err
}
