package follower

import (
	"context"
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Fetch answers another daemon from the window of recent records. It waits up to
// wait, at most 2 s, for the record at from. If that record has left the window
// the answer has a First above from and no records.
func (f *Follower) Fetch(ctx context.Context, from identifier.Offset, limit int, wait timer.Millis) FetchResult {
	limit = min(max(limit, 1), readLimit)
	var expired <-chan time.Time
	if wait = min(wait, relayWait); wait > 0 {
		timeout := time.NewTimer(wait.Duration())
		defer timeout.Stop()
		expired = timeout.C
	}
	for {
		answer, changed := f.look(from, limit)
		if len(answer.Records) > 0 || answer.First > from || wait <= 0 {
			return answer
		}
		select {
		case <-changed:
		case <-expired:
			wait = 0
		case <-ctx.Done():
			wait = 0
		}
	}
}

func (f *Follower) look(from identifier.Offset, limit int) (FetchResult, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return FetchResult{
		Records:      f.window.from(from, limit),
		First:        f.window.first,
		Next:         f.window.next(),
		ConfirmedAge: min(f.config.Clock.Now()-f.confirmed, Never),
	}, f.changed
}
