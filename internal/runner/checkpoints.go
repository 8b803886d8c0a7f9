package runner

import (
	"context"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/checkpointer"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// foldedState is a fold of a stream that checkpoints are made of.
type foldedState interface {
	Folded() (identifier.Offset, bool)
	LastCheckpoint() (identifier.Offset, bool)
	Checkpoint() ([]byte, error)
}

// states returns the folds by stream.
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

// progress tells how far a stream is folded and who writes its checkpoints.
func (d *daemon) progress(stream appender.Stream, state foldedState) checkpointer.Progress {
	var p checkpointer.Progress
	p.Folded, p.HasFolded = state.Folded()
	p.Checkpoint, p.HasCheckpoint = state.LastCheckpoint()
	p.Confirmed = d.followers[stream].ConfirmedAge() < confirmedRecently
	p.Rank, p.Reader = d.membership.ReaderRank()
	return p
}
