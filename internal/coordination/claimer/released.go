package claimer

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// releasedSpan is how long a claim message can be under way: connections
	// between daemons live at most 5 minutes.
	releasedSpan = 5 * timer.Minute
	// maxReleased bounds the tokens, about 5 MB. A forgotten one can only block
	// its key.
	maxReleased = 30_000
)

type releasedToken struct {
	token deduplicator.Token
	until timer.Millis
}

// releasedTokens remembers arrivals that were settled as not run, so that a late
// copy of their claim message does not take the key again. It is not safe for
// concurrent use.
type releasedTokens struct {
	until map[deduplicator.Token]timer.Millis
	// order lists the tokens by time.
	order []releasedToken
}

func newReleasedTokens() *releasedTokens {
	return &releasedTokens{until: map[deduplicator.Token]timer.Millis{}}
}

func (r *releasedTokens) add(now timer.Millis, token deduplicator.Token) {
	for len(r.order) > 0 && (r.order[0].until <= now || len(r.order) >= maxReleased) {
		// A token that was added again has a later entry.
		if oldest := r.order[0]; r.until[oldest.token] == oldest.until {
			delete(r.until, oldest.token)
		}
		r.order = r.order[1:]
	}
	r.until[token] = now + releasedSpan
	r.order = append(r.order, releasedToken{token, now + releasedSpan})
}

func (r *releasedTokens) has(now timer.Millis, token deduplicator.Token) bool {
	until, found := r.until[token]
	return found && now < until
}
