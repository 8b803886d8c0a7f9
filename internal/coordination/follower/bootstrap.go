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
	// snapshotPeers are asked at the same time.
	snapshotPeers = 3
	// snapshotTime bounds one request for a snapshot of about 1 MB.
	snapshotTime = 5 * timer.Second
	// emptyAfter is the time without any checkpoint after which a state that may
	// start empty does. Peers may be unreachable for a moment only.
	emptyAfter = 10 * timer.Second
)

// extent is the part of the stream that the log retains.
type extent struct {
	first identifier.Offset
	next  identifier.Offset
}

// bootstrap brings the state to an offset from which it can follow, and reports
// whether it did.
func (f *Follower) bootstrap(ctx context.Context) bool {
	defer f.restart()
	log, err := f.extent(ctx)
	if err != nil {
		f.logReadable = 0
		return f.restorePeers(ctx)
	}
	f.restoreLog(ctx, log)
	if f.next() >= log.first {
		return true
	}
	f.restorePeers(ctx)
	if f.next() >= log.first {
		return true
	}
	return f.startEmpty(log)
}

// restart empties the window if the state moved past it.
func (f *Follower) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next := f.next(); next != f.window.next() {
		f.window = newWindow(next)
		f.wake()
	}
}

func (f *Follower) extent(ctx context.Context) (extent, error) {
	ctx, cancel := context.WithTimeout(ctx, (2 * answerTime).Duration())
	defer cancel()
	batch, err := f.config.Log.Read(ctx, f.config.Stream, 0, 1, 0)
	var expired *appender.ExpiredError
	if errors.As(err, &expired) {
		return extent{first: expired.First, next: expired.Next}, nil
	}
	return extent{first: batch.First, next: batch.Next}, err
}

// restoreLog looks for the newest checkpoint, from the end of the log backwards.
// It stops at the first one that is restored: older ones cover less.
func (f *Follower) restoreLog(ctx context.Context, log extent) {
	end := log.next
	for end > log.first && end > f.next() {
		start := log.first
		if end-start > readLimit {
			start = end - readLimit
		}
		records, err := f.readRange(ctx, start, end)
		if err != nil {
			f.config.Logger.Warn("checkpoint not found", "stream", f.config.Stream, "error", err)
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
	ctx, cancel := context.WithTimeout(ctx, snapshotTime.Duration())
	defer cancel()
	var records []appender.Record
	for start < end {
		batch, err := f.config.Log.Read(ctx, f.config.Stream, start, int(end-start), 0)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if len(batch.Records) == 0 {
			return nil, Error.New("no record at offset %d below %d", start, end)
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

// restorePeers asks several peers and restores the snapshot with the highest
// folded offset. It waits for all of them, since the first one to answer may be
// far behind.
func (f *Follower) restorePeers(ctx context.Context) bool {
	peers := slices.Clone(f.config.Peers())
	f.config.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), snapshotPeers)]
	snapshots := make([]Snapshot, len(peers))
	ctx, cancel := context.WithTimeout(ctx, snapshotTime.Duration())
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
func (f *Follower) startEmpty(log extent) bool {
	now := f.config.Clock.Now()
	if f.logReadable == 0 {
		f.logReadable = now
	}
	if f.config.Empty == nil || log.first == 0 || now-f.logReadable < emptyAfter {
		return false
	}
	payload, err := f.config.Empty(log.first - 1)
	if err != nil {
		f.config.Logger.Warn("no empty state", "stream", f.config.Stream, "error", err)
		return false
	}
	return f.restore(payload)
}
