package deduplicator

import (
	"container/list"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Bounds of the claim table.
const (
	// MaxAnswerBytes is the largest answer that is kept for a resend.
	MaxAnswerBytes = 16 << 10
	// MaxTotalAnswerBytes bounds the sum of all kept answers.
	MaxTotalAnswerBytes = 8 << 20
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 256
	// MaxClaims bounds the claims that one daemon keeps.
	MaxClaims = 100_000
	// sweepInterval is the time between two scans of all claims for expired ones.
	sweepInterval = 10 * timer.Second
)

// takeover describes how and when this daemon's ownership of a shard began.
type takeover struct {
	// claimsLost is set if the claims of an earlier owner are not known.
	claimsLost    bool
	startedAtWall timer.Millis
	startedAt     timer.Millis
}

// Claims is the owner's table of keys. It is not safe for concurrent use.
type Claims struct {
	memory Memory
	claims map[Key]*list.Element
	// order lists the claims by time of their grant.
	order       *list.List
	answerBytes int
	takeovers   map[identifier.Shard]takeover
	// inherited holds the takeover that a handover reported, by shard.
	inherited map[identifier.Shard]takeover
	lastSweep timer.Millis
}

// NewClaims returns an empty table, whose claims and answers are reserved in a memory. Without
// one, only the bounds of the table apply.
func NewClaims(memory Memory) *Claims {
	return &Claims{
		memory:    OrUnbounded(memory),
		claims:    map[Key]*list.Element{},
		order:     list.New(),
		takeovers: map[identifier.Shard]takeover{},
		inherited: map[identifier.Shard]takeover{},
	}
}

// BeginOwnership starts the ownership of a shard. If claimsLost is set, the
// claims of an earlier owner are not known, so keys that it may have granted
// must not run.
func (c *Claims) BeginOwnership(now, wall timer.Millis, shard identifier.Shard, claimsLost bool) {
	start := takeover{claimsLost: claimsLost, startedAtWall: wall, startedAt: now}
	// The owner that handed the shard over may itself not know all earlier claims.
	if inherited, found := c.inherited[shard]; found && !claimsLost {
		start = inherited
	}
	delete(c.inherited, shard)
	c.takeovers[shard] = start
}

// EndOwnership drops the claims of a shard that this daemon no longer owns.
func (c *Claims) EndOwnership(shard identifier.Shard) {
	delete(c.takeovers, shard)
	for e := c.order.Front(); e != nil; {
		next := e.Next()
		if claimOf(e).Shard == shard {
			c.remove(e)
		}
		e = next
	}
}

// Claim decides whether a request may run. The caller has checked the lease.
// The answer is set for Done if it was kept.
func (c *Claims) Claim(now, wall timer.Millis, request Request) (Verdict, []byte) {
	c.expire(now)
	if e, found := c.claims[request.Key]; found {
		return c.verdictForExisting(claimOf(e), request)
	}
	if c.mayHaveRun(now, wall, request) {
		return OwnerLost, nil
	}
	if len(c.claims) >= MaxClaims {
		return Full, nil
	}
	claim := &Claim{
		Key: request.Key, Shard: request.Shard, Fingerprint: request.Fingerprint,
		Token: request.Token, ExpiresAt: now + request.Window,
	}
	if !c.memory.Grow(claim.Bytes()) {
		return Full, nil
	}
	c.add(claim)
	return Granted, nil
}

func (c *Claims) verdictForExisting(claim *Claim, request Request) (Verdict, []byte) {
	switch {
	case claim.Fingerprint != request.Fingerprint:
		return Mismatch, nil
	case claim.Done:
		return Done, claim.Answer
	case claim.Token == request.Token:
		// The answer to the first claim of this arrival was lost.
		return Granted, nil
	}
	return InProgress, nil
}

// mayHaveRun reports whether a key without a claim may have run before: a
// UUIDv7 older than the window or, for one window after a takeover with lost
// claims, a UUIDv7 from before the takeover or any key that is not a UUIDv7.
func (c *Claims) mayHaveRun(now, wall timer.Millis, request Request) bool {
	start, owned := c.takeovers[request.Shard]
	if !owned {
		return true
	}
	created, dated := CreatedAt(request.Key.Key)
	if dated && created < wall-request.Window+ClockTolerance {
		return true
	}
	if !start.claimsLost || now >= start.startedAt+request.Window {
		return false
	}
	return !dated || created <= start.startedAtWall+ClockTolerance
}

// Settle records how a claimed request ended. A report of another arrival than
// the one that holds the claim has no effect.
func (c *Claims) Settle(key Key, token Token, outcome Outcome, answer []byte) {
	e, found := c.claims[key]
	if !found || claimOf(e).Token != token || claimOf(e).Done {
		return
	}
	claim := claimOf(e)
	switch outcome {
	case OutcomeNotRun:
		c.remove(e)
	case OutcomeComplete:
		claim.Done = true
		c.storeAnswer(claim, answer)
	case OutcomeUnknown:
	}
}

func (c *Claims) storeAnswer(claim *Claim, answer []byte) {
	if len(answer) > MaxAnswerBytes || c.answerBytes+len(answer) > MaxTotalAnswerBytes || !c.memory.Grow(int64(len(answer))) {
		return
	}
	claim.Answer = answer
	c.answerBytes += len(answer)
}

// Export returns the claims of a shard for a handover.
func (c *Claims) Export(now timer.Millis, shard identifier.Shard, epoch identifier.Epoch) Handover {
	start := c.takeovers[shard]
	handover := Handover{Shard: shard, Epoch: epoch, ClaimsLost: start.claimsLost, LostAt: start.startedAtWall, LostAge: now - start.startedAt}
	for e := c.order.Front(); e != nil; e = e.Next() {
		claim := *claimOf(e)
		if claim.Shard == shard {
			claim.ExpiresAt -= now
			handover.Claims = append(handover.Claims, claim)
		}
	}
	return handover
}

// Import adds the claims of a handover. It reports whether all could be kept.
func (c *Claims) Import(now timer.Millis, handover Handover) bool {
	if len(c.claims)+len(handover.Claims) > MaxClaims || !c.memory.Grow(bytesOf(handover.Claims)) {
		return false
	}
	c.inherited[handover.Shard] = takeover{claimsLost: handover.ClaimsLost, startedAtWall: handover.LostAt, startedAt: now - handover.LostAge}
	for _, claim := range handover.Claims {
		if _, found := c.claims[claim.Key]; found {
			c.memory.Shrink(claim.Bytes())
			continue
		}
		kept := claim
		kept.ExpiresAt += now
		kept.Answer = nil
		c.add(&kept)
		c.storeAnswer(&kept, claim.Answer)
	}
	return true
}

func bytesOf(claims []Claim) (total int64) {
	for _, claim := range claims {
		total += claim.Bytes()
	}
	return total
}

// Len returns the number of claims.
func (c *Claims) Len() int { return len(c.claims) }

// add adds a claim whose memory is reserved.
func (c *Claims) add(claim *Claim) { c.claims[claim.Key] = c.order.PushBack(claim) }

func (c *Claims) remove(e *list.Element) {
	claim := claimOf(e)
	c.answerBytes -= len(claim.Answer)
	c.memory.Shrink(claim.Bytes() + int64(len(claim.Answer)))
	delete(c.claims, claim.Key)
	c.order.Remove(e)
}

// expire drops the claims whose window has passed. It checks the oldest on each
// call and all of them every sweepInterval, since the windows of services
// differ.
func (c *Claims) expire(now timer.Millis) {
	for e := c.order.Front(); e != nil && claimOf(e).ExpiresAt <= now; e = c.order.Front() {
		c.remove(e)
	}
	if now-c.lastSweep < sweepInterval {
		return
	}
	c.lastSweep = now
	for e := c.order.Front(); e != nil; {
		next := e.Next()
		if claimOf(e).ExpiresAt <= now {
			c.remove(e)
		}
		e = next
	}
}

func claimOf(e *list.Element) *Claim { return e.Value.(*Claim) }
