package follower

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// snapshotPeers is the number of peers that are asked for a snapshot at the same
	// time.
	snapshotPeers = 3
	// snapshotTimeout bounds one request for a snapshot, which has about 1 MB.
	snapshotTimeout = 5 * timer.Second
	// startEmptyAfter is the time without any checkpoint after which a state that may
	// start empty does so, since peers may be unreachable only for a moment.
	startEmptyAfter = 10 * timer.Second
)

// retainedRange is the range of offsets that the log retains.
type retainedRange struct {
	first identifier.Offset
	next  identifier.Offset
}

// bootstrap restores the state to an offset from which it can follow the log, and
// reports whether it did.
func (f *Follower) bootstrap(ctx context.Context) bool {
	defer f.resetWindow()
	log, err := f.retainedRange(ctx)
	if err != nil {
		f.logReadableSince = 0
		return f.restoreFromPeers(ctx)
	}
	f.restoreFromLog(ctx, log)
	if f.next() >= log.first {
		return true
	}
	f.restoreFromPeers(ctx)
	if f.next() >= log.first {
		return true
	}
	return f.startEmpty(log)
}

// resetWindow empties the window if a restored state is no longer at its end.
func (f *Follower) resetWindow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next := f.next(); next != f.window.next() {
		f.window = newWindow(next)
		f.notifyWaiters()
	}
}

func (f *Follower) retainedRange(ctx context.Context) (retainedRange, error) {
	ctx, cancel := context.WithTimeout(ctx, (2 * answerTimeout).Duration())
	defer cancel()
	batch, err := f.config.Log.Read(ctx, f.config.Stream, 0, 1, 0)
	var expired *appender.ExpiredError
	if errors.As(err, &expired) {
		return retainedRange{first: expired.First, next: expired.Next}, nil
	}
	return retainedRange{first: batch.First, next: batch.Next}, err
}

// restoreFromLog searches the log backwards for the newest checkpoint. It stops at
// the first one that is restored, since older ones cover less.
func (f *Follower) restoreFromLog(ctx context.Context, log retainedRange) {
	end := log.next
	for end > log.first && end > f.next() {
		start := log.first
		if end-start > readLimit {
			start = end - readLimit
		}
		records, err := f.readRange(ctx, start, end)
		if err != nil {
			f.config.Logger.Warn("search for a checkpoint failed", "stream", f.config.Stream, "error", err)
			return
		}
		for _, r := range slices.Backward(records) {
			if f.restore(r.Payload) {
				return
			}
		}
		end = start
	}
}

func (f *Follower) readRange(ctx context.Context, start, end identifier.Offset) ([]appender.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout.Duration())
	defer cancel()
	var records []appender.Record
	for start < end {
		batch, err := f.config.Log.Read(ctx, f.config.Stream, start, int(end-start), 0)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if len(batch.Records) == 0 {
			return nil, Error.New("log returned no record at offset %d of the range that ends at %d", start, end)
		}
		records = append(records, batch.Records...)
		start = batch.Records[len(batch.Records)-1].Offset + 1
	}
	return records, nil
}

func (f *Follower) restore(payload []byte) bool {
	restored, err := f.state.Restore(payload)
	if err != nil {
		f.config.Logger.Warn("checkpoint not restored", "stream", f.config.Stream, "error", err)
	}
	return restored
}

// restoreFromPeers asks several peers and restores the snapshot with the highest
// folded offset. It waits for all answers, since the first may be far behind.
func (f *Follower) restoreFromPeers(ctx context.Context) bool {
	peers := slices.Clone(f.config.Peers())
	f.config.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), snapshotPeers)]
	snapshots := make([]Snapshot, len(peers))
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout.Duration())
	defer cancel()
	var group sync.WaitGroup
	for i, peer := range peers {
		group.Go(func() {
			snapshot, err := f.config.Relay.Snapshot(ctx, peer, f.config.Stream)
			if err == nil {
				snapshots[i] = snapshot
			}
		})
	}
	group.Wait()
	slices.SortFunc(snapshots, func(a, b Snapshot) int { return cmp.Compare(b.Folded, a.Folded) })
	return slices.ContainsFunc(snapshots, func(s Snapshot) bool { return len(s.Payload) > 0 && f.restore(s.Payload) })
}

// startEmpty starts at the oldest retained record with an empty state.
func (f *Follower) startEmpty(log retainedRange) bool {
	now := f.config.Clock.Now()
	if f.logReadableSince == 0 {
		f.logReadableSince = now
	}
	if f.config.Empty == nil || log.first == 0 || now-f.logReadableSince < startEmptyAfter {
		return false
	}
	payload, err := f.config.Empty(log.first - 1)
	if err != nil {
		f.config.Logger.Warn("empty state for the start without a checkpoint not created", "stream", f.config.Stream, "error", err)
		return false
	}
	return f.restore(payload)
}
