// Package holder guards the folded state of a daemon with locks, so that followers
// can update it while requests read it.
//
// # Usage
//
//	configuration := holder.NewConfiguration(logger)
//	f := follower.New(follower.Config{Stream: appender.Configuration, ...}, configuration)
//	...
//	view := configuration.View()
//	service, found := view.Schedule.Route(header, host, path)
package holder

import (
	"log/slog"
	"math"
	"sync"
	"sync/atomic"

	"github.com/magnoliaknot/magnoliaknot/internal/coordination/publisher"
	"github.com/magnoliaknot/magnoliaknot/internal/state/reducer"
	"github.com/magnoliaknot/magnoliaknot/internal/state/scheduler"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Configuration holds the fold of the configuration stream. It is safe for
// concurrent use.
type Configuration struct {
	logger *slog.Logger
	view   atomic.Pointer[scheduler.ActiveConfiguration]

	mu      sync.Mutex
	reducer *reducer.Reducer
	changed chan struct{}
	// diverged counts checkpoints whose hash does not match the folded state.
	diverged int
	// checkpoint is the offset that the newest checkpoint seen in the stream
	// covers. It is valid if hasCheckpoint is set.
	checkpoint    identifier.Offset
	hasCheckpoint bool
}

// NewConfiguration returns a Configuration without a sheet.
func NewConfiguration(logger *slog.Logger) *Configuration {
	c := &Configuration{logger: logger, reducer: reducer.New(reducer.Config{}), changed: make(chan struct{})}
	c.view.Store(&scheduler.ActiveConfiguration{Schedule: scheduler.New(nil, nil)})
	return c
}

// View returns the configuration in force. Its version is 0 until a configuration
// is in force.
func (c *Configuration) View() *scheduler.ActiveConfiguration { return c.view.Load() }

// Apply folds one record of the configuration stream.
func (c *Configuration) Apply(offset identifier.Offset, payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	result, err := c.reducer.Apply(offset, payload)
	if err != nil {
		return err
	}
	c.handleResult(offset, result)
	c.publish()
	return nil
}

// Restore replaces the state by a checkpoint that covers a higher offset.
func (c *Configuration) Restore(payload []byte) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	restored, err := c.reducer.Restore(payload)
	if restored {
		c.recordCheckpoint(c.reducer.State().FoldedOffset)
		c.publish()
	}
	return restored, err
}

// Folded returns the offset of the last folded record.
func (c *Configuration) Folded() (identifier.Offset, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.reducer.State()
	return state.FoldedOffset, state.Folded
}

// Checkpoint encodes the folded state.
func (c *Configuration) Checkpoint() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reducer.Checkpoint()
}

// LastCheckpoint returns the offset that the newest checkpoint seen in the
// stream covers.
func (c *Configuration) LastCheckpoint() (identifier.Offset, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkpoint, c.hasCheckpoint
}

func (c *Configuration) recordCheckpoint(folded identifier.Offset) {
	c.checkpoint, c.hasCheckpoint = max(c.checkpoint, folded), true
}

// Audit returns up to limit of the newest entries of the audit trail and the oldest
// offset that the trail covers.
func (c *Configuration) Audit(limit int) ([]reducer.AuditEntry, identifier.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reducer.Audit(limit), c.reducer.OldestAuditOffset()
}

// Outcome returns whether a folded change was accepted. found is false if the
// change was not folded or is no longer in the audit trail.
func (c *Configuration) Outcome(id identifier.ChangeID) (outcome publisher.Outcome, found bool) {
	entry, found := c.AuditEntry(id)
	switch {
	case !found:
		return publisher.Unknown, false
	case entry.Result == reducer.ResultAccepted:
		return publisher.Accepted, true
	}
	return publisher.Rejected, true
}

// AuditEntry returns the audit entry of a change. found is false if the change was
// not folded or is no longer in the audit trail.
func (c *Configuration) AuditEntry(id identifier.ChangeID) (entry reducer.AuditEntry, found bool) {
	entries, _ := c.Audit(math.MaxInt)
	for _, entry := range entries {
		if entry.ChangeID == id {
			return entry, true
		}
	}
	return reducer.AuditEntry{}, false
}

// Diverged returns the number of checkpoints whose hash did not match the folded
// state.
func (c *Configuration) Diverged() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.diverged
}

// Changed returns a channel that is closed at the next folded record.
func (c *Configuration) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *Configuration) publish() {
	state := c.reducer.State()
	view := c.view.Load()
	if state.Version != view.Version {
		c.view.Store(&scheduler.ActiveConfiguration{
			Version: state.Version, Offset: state.FoldedOffset, Sheet: state.Sheet,
			Schedule: scheduler.New(state.Sheet, state.ReturnedAt),
		})
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Configuration) handleResult(offset identifier.Offset, result reducer.Result) {
	switch r := result.(type) {
	case reducer.Accepted:
		c.logger.Info("configuration in force", "change_id", r.ID, "version", r.Version, "offset", offset)
	case reducer.Rejected:
		c.logger.Warn("configuration change rejected", "change_id", r.ID, "reason", r.Reason, "offset", offset)
	case reducer.Undecodable:
		c.logger.Warn("configuration record skipped", "offset", offset, "detail", r.Detail)
	case reducer.CheckpointSeen:
		c.recordCheckpoint(r.FoldedOffset)
		if r.Compared && !r.Matches {
			c.diverged++
			c.logger.Error("checkpoint hash does not match the folded configuration", "folded_offset", r.FoldedOffset, "offset", offset)
		}
	case reducer.Duplicate, reducer.AlreadyFolded:
	}
}
