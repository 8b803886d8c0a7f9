package deduplicator

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Delays and timeouts of actions on a shard.
const (
	// appendInterval is the time between two appends for the same shard.
	appendInterval = 2 * timer.Second
	// rankDelay is the delay for each rank, so that a preferred daemon acts first.
	rankDelay = timer.Second
	// maxUnownedRank is the number of daemons, the most preferred ones, that may
	// claim a shard without owner.
	maxUnownedRank = 3
	// successorTimeout is how long a successor may leave renewals unanswered
	// before the owner names another. It is shorter than a promise holds, so
	// that the loss of a successor does not interrupt the owner.
	successorTimeout = 1200 * timer.Millis(1)
	// minEpochAge is the age of an epoch from which its shard may be moved to a
	// preferred daemon.
	minEpochAge = 5 * timer.Second
	// addSuccessorDelay is how long an owner with too few successors waits before it
	// names more.
	addSuccessorDelay = 2 * PromiseDuration
	// maxLogAge is the longest time since the log was read to its end for a
	// takeover to be tried. A successor that has appended one gives no promises
	// until the log has decided on it, so it does not try while the log is down.
	maxLogAge = 5 * timer.Second
	// absenceTimeout is how long owner and successors must be missing from the
	// membership before another daemon announces an intent.
	absenceTimeout = 30 * timer.Second
)

// shardLease is what this daemon knows about one shard beyond Ownership.
type shardLease struct {
	// As owner: the time until which each successor's promise holds, by index.
	promises       [maxSuccessors]timer.Millis
	epochStartedAt timer.Millis
	releasedEpoch  identifier.Epoch
	// As successor.
	promisedUntil timer.Millis
	takingOver    bool
	importedEpoch identifier.Epoch
	// As any other daemon.
	intentAppendedAt timer.Millis
	absentSince      timer.Millis

	lastAppendAt timer.Millis
	// owned is set while this daemon is the owner according to Ownership.
	owned bool
}

// Lease decides when this daemon may grant claims and when it takes shards
// over. It is not safe for concurrent use.
type Lease struct {
	self            Claimant
	ownership       *Ownership
	shards          []shardLease
	members         []Member
	running         map[Claimant]struct{}
	startedAt       timer.Millis
	logConfirmedAt  timer.Millis
	logWasConfirmed bool
	stopping        bool
	lastRenewalAt   timer.Millis
}

// NewLease returns the lease state of a daemon that starts now.
func NewLease(self Claimant, ownership *Ownership, now timer.Millis) *Lease {
	return &Lease{
		self: self, ownership: ownership, startedAt: now,
		shards: make([]shardLease, ownership.Count()), lastRenewalAt: now - RenewInterval,
	}
}

// Step handles an event and appends the resulting actions.
func (l *Lease) Step(now timer.Millis, event Event, actions []Action) []Action {
	switch e := event.(type) {
	case Tick:
		return l.tick(now, actions)
	case RecordApplied:
		return l.handleRecord(now, e.Record, actions)
	case LogConfirmed:
		l.logConfirmedAt, l.logWasConfirmed = now, true
	case Members:
		l.setMembers(e.List)
	case PromiseAnswered:
		l.handlePromises(e)
	case Appended:
		l.handleAppended(now, e.Records)
	case AppendRefused:
		l.handleAppendRefused(e.Records)
	case HandoverReceived:
		l.shards[e.Shard].importedEpoch = e.Epoch
		l.shards[e.Shard].promisedUntil = now
	case Released:
		l.shards[e.Shard].releasedEpoch = e.Epoch
	case Stopping:
		l.stopping = true
	}
	return actions
}

// setMembers rebuilds the index of running daemons only if the list has
// changed: for 34,000 members the rebuild takes most of the time.
func (l *Lease) setMembers(members []Member) {
	if slices.Equal(members, l.members) {
		return
	}
	l.members = members
	l.running = make(map[Claimant]struct{}, len(members))
	for _, m := range members {
		l.running[m.Claimant] = struct{}{}
	}
}

// CanGrant reports whether this daemon may currently grant claims in an epoch.
func (l *Lease) CanGrant(now timer.Millis, shard identifier.Shard, epoch identifier.Epoch) bool {
	current := l.ownership.Current(shard)
	if current.Epoch != epoch || epoch == 0 || current.Owner != l.self {
		return false
	}
	if l.shards[shard].releasedEpoch == epoch {
		return false
	}
	if !l.logWasConfirmed || now >= l.logConfirmedAt+LogContactTimeout {
		return false
	}
	for i := range current.Successors {
		if now >= l.shards[shard].promises[i] {
			return false
		}
	}
	return true
}

// MisplacedShard returns a shard that this daemon owns and whose first
// successor is preferred to it. Daemons that start first take every shard; if
// they kept them, the loss of one daemon would affect most keys.
func (l *Lease) MisplacedShard(now timer.Millis) (identifier.Shard, bool) {
	if l.stopping {
		return 0, false
	}
	for i := range l.shards {
		shard := identifier.Shard(i)
		current := l.ownership.Current(shard)
		if current.Owner != l.self || len(current.Successors) < maxSuccessors || now-l.shards[i].epochStartedAt < minEpochAge {
			continue
		}
		preferred := weight(shard, current.Successors[0].Instance) > weight(shard, l.self.Instance)
		if preferred && l.mayAppend(now, shard) && l.CanGrant(now, shard, current.Epoch) {
			return shard, true
		}
	}
	return 0, false
}

// Promise answers an owner that renews its promises; it returns the shards for
// which this daemon promises not to take over for PromiseDuration.
func (l *Lease) Promise(now timer.Millis, owner Claimant, shards []ShardEpoch) []ShardEpoch {
	var granted []ShardEpoch
	for _, wanted := range shards {
		current := l.ownership.Current(wanted.Shard)
		if current.Epoch != wanted.Epoch || current.Owner != owner || !slices.Contains(current.Successors, l.self) {
			continue
		}
		state := &l.shards[wanted.Shard]
		if state.takingOver || state.importedEpoch == wanted.Epoch {
			continue
		}
		state.promisedUntil = now + PromiseDuration
		granted = append(granted, wanted)
	}
	return granted
}

func (l *Lease) handlePromises(e PromiseAnswered) {
	for _, granted := range e.Granted {
		current := l.ownership.Current(granted.Shard)
		if current.Epoch != granted.Epoch || current.Owner != l.self {
			continue
		}
		i := slices.Index(current.Successors, e.Successor)
		if i < 0 {
			continue
		}
		// The promise began after the request was sent, so an expiry counted from the
		// sending time comes before the successor's own.
		until := e.SentAt + min(e.Duration, PromiseDuration) - PromiseMargin
		state := &l.shards[granted.Shard]
		state.promises[i] = max(state.promises[i], until)
	}
}

func (l *Lease) handleRecord(now timer.Millis, record Record, actions []Action) []Action {
	if record.Kind != KindOwn {
		return actions
	}
	state := &l.shards[record.Shard]
	wasOwner := state.owned
	claimsLost := record.BasedOnEpoch != 0 && state.importedEpoch != record.BasedOnEpoch
	isOwner := record.Owner == l.self
	*state = shardLease{
		epochStartedAt: now, promisedUntil: now + PromiseDuration,
		lastAppendAt: state.lastAppendAt, owned: isOwner,
	}
	if isOwner {
		l.lastRenewalAt = now - RenewInterval
	}
	switch {
	case isOwner && !wasOwner:
		return append(actions, OwnershipStarted{Shard: record.Shard, Epoch: record.Epoch, ClaimsLost: claimsLost})
	case !isOwner && wasOwner:
		return append(actions, OwnershipEnded{Shard: record.Shard})
	}
	return actions
}

func (l *Lease) handleAppended(now timer.Millis, records []Record) {
	for _, record := range records {
		if record.Kind == KindIntent && record.BasedOnEpoch == l.ownership.Current(record.Shard).Epoch {
			state := &l.shards[record.Shard]
			if state.intentAppendedAt == 0 {
				state.intentAppendedAt = now
			}
		}
	}
}

func (l *Lease) handleAppendRefused(records []Record) {
	for _, record := range records {
		l.shards[record.Shard].takingOver = false
	}
}

func (l *Lease) tick(now timer.Millis, actions []Action) []Action {
	var records []Record
	for i := range l.shards {
		shard := identifier.Shard(i)
		if record, due := l.nextRecord(now, shard); due {
			l.shards[shard].lastAppendAt = now
			records = append(records, record)
		}
	}
	if len(records) > 0 {
		actions = append(actions, Append{Records: records})
	}
	return l.renewPromises(now, actions)
}

func (l *Lease) mayAppend(now timer.Millis, shard identifier.Shard) bool {
	last := l.shards[shard].lastAppendAt
	fresh := l.logWasConfirmed && now-l.logConfirmedAt <= maxLogAge
	return fresh && (last == 0 || now-last >= appendInterval)
}

// nextRecord returns the record that this daemon should append for a shard, if
// one is due.
func (l *Lease) nextRecord(now timer.Millis, shard identifier.Shard) (Record, bool) {
	if l.stopping {
		return Record{}, false
	}
	current := l.ownership.Current(shard)
	switch {
	case current.Epoch == 0:
		if !l.mayAppend(now, shard) || len(l.members) == 0 {
			return Record{}, false
		}
		rank := rankOf(shard, l.members, l.self.Instance, maxUnownedRank)
		if rank >= maxUnownedRank || now-l.startedAt < timer.Millis(rank+1)*rankDelay {
			return Record{}, false
		}
		return l.ownRecord(now, shard, current), true
	case current.Owner == l.self:
		if !l.needsNewEpoch(now, shard, current) || !l.mayAppend(now, shard) {
			return Record{}, false
		}
		return l.ownRecord(now, shard, current), true
	case slices.Contains(current.Successors, l.self):
		return l.takeoverRecord(now, shard, current)
	}
	return l.nonSuccessorRecord(now, shard, current)
}

// ownRecord returns the record that makes this daemon the owner. As successors
// it avoids the replaced owner and successors that stopped answering.
func (l *Lease) ownRecord(now timer.Millis, shard identifier.Shard, current Record) Record {
	avoid := []Claimant{current.Owner}
	if current.Owner == l.self {
		avoid = l.unresponsiveSuccessors(now, shard, current)
	}
	return Record{
		Kind: KindOwn, Shard: shard, Epoch: current.Epoch + 1, BasedOnEpoch: current.Epoch,
		Owner: l.self, Successors: chooseSuccessors(shard, l.members, l.self, avoid),
	}
}

func (l *Lease) unresponsiveSuccessors(now timer.Millis, shard identifier.Shard, current Record) []Claimant {
	state := &l.shards[shard]
	var unresponsive []Claimant
	for i, successor := range current.Successors {
		answered := state.promises[i] - PromiseDuration + PromiseMargin
		if now-max(answered, state.epochStartedAt) >= successorTimeout {
			unresponsive = append(unresponsive, successor)
		}
	}
	return unresponsive
}

// needsNewEpoch reports whether the owner should start a new epoch: a successor
// stopped answering, more daemons can be successors, or another daemon
// announced an intent.
func (l *Lease) needsNewEpoch(now timer.Millis, shard identifier.Shard, current Record) bool {
	state := &l.shards[shard]
	if state.releasedEpoch == current.Epoch {
		return false
	}
	if l.ownership.HasIntent(shard) {
		return true
	}
	if len(current.Successors) < maxSuccessors && len(l.members) > len(current.Successors)+1 {
		return now-state.epochStartedAt >= addSuccessorDelay
	}
	return len(l.unresponsiveSuccessors(now, shard, current)) > 0
}

func (l *Lease) takeoverRecord(now timer.Millis, shard identifier.Shard, current Record) (Record, bool) {
	state := &l.shards[shard]
	wait := rankDelay * timer.Millis(slices.Index(current.Successors, l.self))
	if state.importedEpoch == current.Epoch {
		wait = 0
	}
	if now < max(state.promisedUntil, l.startedAt)+wait || !l.mayAppend(now, shard) {
		return Record{}, false
	}
	state.takingOver = true
	return l.ownRecord(now, shard, current), true
}

// nonSuccessorRecord returns the record of a daemon that is neither owner nor
// successor: an intent when these have all been missing from the membership for
// absenceTimeout, and a takeover IntentDelay later.
func (l *Lease) nonSuccessorRecord(now timer.Millis, shard identifier.Shard, current Record) (Record, bool) {
	state := &l.shards[shard]
	if state.intentAppendedAt != 0 {
		if now-state.intentAppendedAt < IntentDelay || !l.mayAppend(now, shard) {
			return Record{}, false
		}
		return l.ownRecord(now, shard, current), true
	}
	if l.anyMemberRuns(current) {
		state.absentSince = 0
		return Record{}, false
	}
	if state.absentSince == 0 {
		state.absentSince = now
	}
	due := now-state.absentSince >= absenceTimeout && l.mayAppend(now, shard) &&
		rankOf(shard, l.members, l.self.Instance, 1) == 0
	return Record{
		Kind: KindIntent, Shard: shard, Epoch: current.Epoch, BasedOnEpoch: current.Epoch, Owner: l.self,
	}, due
}

// anyMemberRuns reports whether the owner or a successor of an epoch is a
// member.
func (l *Lease) anyMemberRuns(current Record) bool {
	if _, runs := l.running[current.Owner]; runs {
		return true
	}
	return slices.ContainsFunc(current.Successors, func(c Claimant) bool {
		_, runs := l.running[c]
		return runs
	})
}

// renewPromises asks all successors of this daemon's shards for promises, with
// one message for each successor.
func (l *Lease) renewPromises(now timer.Millis, actions []Action) []Action {
	if now-l.lastRenewalAt < RenewInterval {
		return actions
	}
	l.lastRenewalAt = now
	requests := map[Claimant][]ShardEpoch{}
	var order []Claimant
	for i := range l.shards {
		shard := identifier.Shard(i)
		current := l.ownership.Current(shard)
		if current.Owner != l.self || current.Epoch == 0 || l.shards[i].releasedEpoch == current.Epoch {
			continue
		}
		for _, successor := range current.Successors {
			if requests[successor] == nil {
				order = append(order, successor)
			}
			requests[successor] = append(requests[successor], ShardEpoch{shard, current.Epoch})
		}
	}
	for _, successor := range order {
		actions = append(actions, RequestPromises{Successor: successor, Shards: requests[successor]})
	}
	return actions
}
