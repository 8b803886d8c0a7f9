package runner

import (
	"context"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/checkpointer"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// foldedState is the folded state of a stream, from which checkpoints are made.
type foldedState interface {
	Folded() (identifier.Offset, bool)
	LastCheckpoint() (identifier.Offset, bool)
	Checkpoint() ([]byte, error)
}

// states returns the folded state of each stream.
func (d *daemon) states() map[appender.Stream]foldedState {
	return map[appender.Stream]foldedState{
		appender.Configuration: d.configuration,
		appender.Membership:    d.membership,
		appender.Ownership:     d.claimer,
	}
}

func (d *daemon) checkpointLoops() []func(context.Context) {
	var loops []func(context.Context)
	for stream, state := range d.states() {
		c := checkpointer.New(checkpointer.Config{
			Stream: stream, Log: d.log, Clock: d.clock, Rand: newRand(), Retention: d.settings.Log.Retention,
			Progress:   func() checkpointer.Progress { return d.progress(stream, state) },
			Checkpoint: state.Checkpoint, Logger: d.logger,
		})
		loops = append(loops, c.Run)
	}
	return loops
}

// progress returns how far a stream is folded and confirmed, the offset of its
// last checkpoint and the rank of this daemon among the log readers.
func (d *daemon) progress(stream appender.Stream, state foldedState) checkpointer.Progress {
	var p checkpointer.Progress
	p.Folded, p.HasFolded = state.Folded()
	p.Checkpoint, p.HasCheckpoint = state.LastCheckpoint()
	p.Confirmed = d.followers[stream].ConfirmedAge() < confirmedMaxAge
	p.Rank, p.Reader = d.membership.ReaderRank()
	return p
}
