package claimer

import (
	"github.com/magnoliaknot/magnoliaknot/internal/state/deduplicator"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const (
	// releasedTokenTTL is the longest time a claim message can be in transit:
	// connections between daemons last at most 5 minutes.
	releasedTokenTTL = 5 * timer.Minute
	// maxReleasedTokens bounds the memory for tokens to about 5 MB. An evicted token
	// can at worst block its key.
	maxReleasedTokens = 30_000
	// releasedTokenBytes is the memory that a token takes beside its text.
	releasedTokenBytes = 96
)

type releasedToken struct {
	token deduplicator.Token
	until timer.Millis
}

// releasedTokens holds the tokens of arrivals that were settled as not run, so that
// a delayed copy of their claim message does not take the key again. It is not safe
// for concurrent use.
type releasedTokens struct {
	memory deduplicator.Memory
	until  map[deduplicator.Token]timer.Millis
	// order lists the tokens by expiry.
	order []releasedToken
}

func newReleasedTokens(memory deduplicator.Memory) *releasedTokens {
	return &releasedTokens{memory: memory, until: map[deduplicator.Token]timer.Millis{}}
}

func (r *releasedTokens) add(now timer.Millis, token deduplicator.Token) {
	for len(r.order) > 0 && (r.order[0].until <= now || len(r.order) >= maxReleasedTokens) {
		r.removeOldest()
	}
	for !r.memory.Grow(tokenBytes(token)) {
		if len(r.order) == 0 {
			return
		}
		r.removeOldest()
	}
	r.until[token] = now + releasedTokenTTL
	r.order = append(r.order, releasedToken{token, now + releasedTokenTTL})
}

func (r *releasedTokens) removeOldest() {
	oldest := r.order[0]
	// A token that was added again has another entry with a later expiry.
	if r.until[oldest.token] == oldest.until {
		delete(r.until, oldest.token)
	}
	r.order = r.order[1:]
	r.memory.Shrink(tokenBytes(oldest.token))
}

// tokenBytes returns the memory that a released token takes.
func tokenBytes(token deduplicator.Token) int64 { return releasedTokenBytes + int64(len(token)) }

func (r *releasedTokens) has(now timer.Millis, token deduplicator.Token) bool {
	until, found := r.until[token]
	return found && now < until
}
