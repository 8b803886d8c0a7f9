package follower

import (
	"context"
	"time"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Fetch serves another daemon from the window of recent records. It waits for the
// record at from for up to wait, at most 2 s. If the window no longer holds that
// record, First is greater than from and there are no records.
func (f *Follower) Fetch(ctx context.Context, from identifier.Offset, limit int, wait timer.Millis) FetchResult {
	limit = min(max(limit, 1), readLimit)
	var expired <-chan time.Time
	if wait = min(wait, relayWait); wait > 0 {
		timeout := time.NewTimer(wait.Duration())
		defer timeout.Stop()
		expired = timeout.C
	}
	for {
		answer, changed := f.readWindow(from, limit)
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

func (f *Follower) readWindow(from identifier.Offset, limit int) (FetchResult, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return FetchResult{
		Records:      f.window.from(from, limit),
		First:        f.window.first,
		Next:         f.window.next(),
		ConfirmedAge: min(f.config.Clock.Now()-f.confirmedAt, NeverConfirmed),
	}, f.changed
}
