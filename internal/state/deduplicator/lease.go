package deduplicator

import (
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Times after which a daemon acts on a shard again.
const (
	// appendInterval is the time between two appends for the same shard.
	appendInterval = 2 * timer.Second
	// rankDelay lets a preferred daemon act first.
	rankDelay = timer.Second
	// maxUnownedRank bounds the daemons that claim a shard without owner.
	maxUnownedRank = 3
	// successorTimeout is how long a successor may leave renewals unanswered
	// before the owner names another. It is shorter than a promise holds, so
	// that the loss of a successor does not interrupt the owner.
	successorTimeout = 1200 * timer.Millis(1)
	// settledAfter is the age of an epoch from which its shard may be moved to a
	// preferred daemon.
	settledAfter = 5 * timer.Second
	// joinDelay is how long an owner with too few successors waits before it
	// names more.
	joinDelay = 2 * PromiseDuration
	// logFresh is how recently the log must have been read to its end before a
	// takeover is tried. A successor that appended can give no promise until
	// the log has decided, so it does not try while the log is down.
	logFresh = 5 * timer.Second
	// goneTimeout is how long owner and successors must be missing from the
	// membership before another daemon announces an intent.
	goneTimeout = 30 * timer.Second
)

// shardLease is what this daemon knows about one shard beside the fold.
type shardLease struct {
	// As owner: the time until which each successor's promise holds, by index.
	promises   [maxSuccessors]timer.Millis
	epochSince timer.Millis
	released   identifier.Epoch
	// As successor.
	promisedUntil timer.Millis
	takingOver    bool
	imported      identifier.Epoch
	// As any other daemon.
	intentAppendedAt timer.Millis
	goneSince        timer.Millis

	lastAppend timer.Millis
	// owned is set while the folded owner is this daemon.
	owned bool
}

// Lease decides when this daemon may grant claims and when it takes shards
// over. It is not safe for concurrent use.
type Lease struct {
	self         Claimant
	ownership    *Ownership
	shards       []shardLease
	members      []Member
	running      map[Claimant]struct{}
	startedAt    timer.Millis
	logConfirmed timer.Millis
	logSeen      bool
	stopping     bool
	lastRenewal  timer.Millis
}

// NewLease returns the lease state of a daemon that starts now.
func NewLease(self Claimant, ownership *Ownership, now timer.Millis) *Lease {
	return &Lease{
		self: self, ownership: ownership, startedAt: now,
		shards: make([]shardLease, ownership.Count()), lastRenewal: now - RenewInterval,
	}
}

// Step handles an event and appends the resulting actions.
func (l *Lease) Step(now timer.Millis, event Event, actions []Action) []Action {
	switch e := event.(type) {
	case Tick:
		return l.tick(now, actions)
	case RecordApplied:
		return l.folded(now, e.Record, actions)
	case LogConfirmed:
		l.logConfirmed, l.logSeen = now, true
	case Members:
		l.setMembers(e.List)
	case PromiseAnswered:
		l.promised(e)
	case Appended:
		l.noteAppended(now, e.Records)
	case AppendRefused:
		l.noteRefused(e.Records)
	case HandoverReceived:
		l.shards[e.Shard].imported = e.Epoch
		l.shards[e.Shard].promisedUntil = now
	case Released:
		l.shards[e.Shard].released = e.Epoch
	case Stopping:
		l.stopping = true
	}
	return actions
}

// setMembers takes the list as often as it is given, but builds the index only
// for another list: for 34,000 members that takes most of the time.
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

// CanGrant tells whether this daemon may grant claims in an epoch right now.
func (l *Lease) CanGrant(now timer.Millis, shard identifier.Shard, epoch identifier.Epoch) bool {
	current := l.ownership.Current(shard)
	if current.Epoch != epoch || epoch == 0 || current.Owner != l.self {
		return false
	}
	if l.shards[shard].released == epoch {
		return false
	}
	if !l.logSeen || now >= l.logConfirmed+LogContactTimeout {
		return false
	}
	for i := range current.Successors {
		if now >= l.shards[shard].promises[i] {
			return false
		}
	}
	return true
}

// MisplacedShard returns a shard that this daemon owns and whose first successor is
// preferred to it. Daemons that start first take every shard; without giving
// them away the loss of one daemon would concern most keys.
func (l *Lease) MisplacedShard(now timer.Millis) (identifier.Shard, bool) {
	if l.stopping {
		return 0, false
	}
	for i := range l.shards {
		shard := identifier.Shard(i)
		current := l.ownership.Current(shard)
		if current.Owner != l.self || len(current.Successors) < maxSuccessors || now-l.shards[i].epochSince < settledAfter {
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
// which this daemon promises not to take over for PromiseSpan.
func (l *Lease) Promise(now timer.Millis, owner Claimant, shards []ShardEpoch) []ShardEpoch {
	var granted []ShardEpoch
	for _, wanted := range shards {
		current := l.ownership.Current(wanted.Shard)
		if current.Epoch != wanted.Epoch || current.Owner != owner || !slices.Contains(current.Successors, l.self) {
			continue
		}
		state := &l.shards[wanted.Shard]
		if state.takingOver || state.imported == wanted.Epoch {
			continue
		}
		state.promisedUntil = now + PromiseDuration
		granted = append(granted, wanted)
	}
	return granted
}

func (l *Lease) promised(e PromiseAnswered) {
	for _, granted := range e.Granted {
		current := l.ownership.Current(granted.Shard)
		if current.Epoch != granted.Epoch || current.Owner != l.self {
			continue
		}
		i := slices.Index(current.Successors, e.Successor)
		if i < 0 {
			continue
		}
		// The promise began after the request was sent, so counting from the
		// sending ends before the successor's own count.
		until := e.SentAt + min(e.Duration, PromiseDuration) - PromiseMargin
		state := &l.shards[granted.Shard]
		state.promises[i] = max(state.promises[i], until)
	}
}

func (l *Lease) folded(now timer.Millis, record Record, actions []Action) []Action {
	if record.Kind != KindOwn {
		return actions
	}
	state := &l.shards[record.Shard]
	wasOwner := state.owned
	lost := record.BasedOnEpoch != 0 && state.imported != record.BasedOnEpoch
	isOwner := record.Owner == l.self
	*state = shardLease{
		epochSince: now, promisedUntil: now + PromiseDuration,
		lastAppend: state.lastAppend, owned: isOwner,
	}
	if isOwner {
		l.lastRenewal = now - RenewInterval
	}
	switch {
	case isOwner && !wasOwner:
		return append(actions, OwnershipStarted{Shard: record.Shard, Epoch: record.Epoch, ClaimsLost: lost})
	case !isOwner && wasOwner:
		return append(actions, OwnershipEnded{Shard: record.Shard})
	}
	return actions
}

func (l *Lease) noteAppended(now timer.Millis, records []Record) {
	for _, record := range records {
		if record.Kind == KindIntent && record.BasedOnEpoch == l.ownership.Current(record.Shard).Epoch {
			state := &l.shards[record.Shard]
			if state.intentAppendedAt == 0 {
				state.intentAppendedAt = now
			}
		}
	}
}

func (l *Lease) noteRefused(records []Record) {
	for _, record := range records {
		l.shards[record.Shard].takingOver = false
	}
}

func (l *Lease) tick(now timer.Millis, actions []Action) []Action {
	var records []Record
	for i := range l.shards {
		shard := identifier.Shard(i)
		if record, due := l.nextRecord(now, shard); due {
			l.shards[shard].lastAppend = now
			records = append(records, record)
		}
	}
	if len(records) > 0 {
		actions = append(actions, Append{Records: records})
	}
	return l.renew(now, actions)
}

func (l *Lease) mayAppend(now timer.Millis, shard identifier.Shard) bool {
	last := l.shards[shard].lastAppend
	fresh := l.logSeen && now-l.logConfirmed <= logFresh
	return fresh && (last == 0 || now-last >= appendInterval)
}

// nextRecord returns the record that this daemon wants in the log for a shard.
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
		return l.own(now, shard, current), true
	case current.Owner == l.self:
		if !l.wantsRenewal(now, shard, current) || !l.mayAppend(now, shard) {
			return Record{}, false
		}
		return l.own(now, shard, current), true
	case slices.Contains(current.Successors, l.self):
		return l.takeOver(now, shard, current)
	}
	return l.outsider(now, shard, current)
}

// own returns the record that makes this daemon the owner. It names neither
// the owner that is replaced nor successors that stopped answering.
func (l *Lease) own(now timer.Millis, shard identifier.Shard, current Record) Record {
	avoid := []Claimant{current.Owner}
	if current.Owner == l.self {
		avoid = l.silentSuccessors(now, shard, current)
	}
	return Record{
		Kind: KindOwn, Shard: shard, Epoch: current.Epoch + 1, BasedOnEpoch: current.Epoch,
		Owner: l.self, Successors: chooseSuccessors(shard, l.members, l.self, avoid),
	}
}

func (l *Lease) silentSuccessors(now timer.Millis, shard identifier.Shard, current Record) []Claimant {
	state := &l.shards[shard]
	var silent []Claimant
	for i, successor := range current.Successors {
		answered := state.promises[i] - PromiseDuration + PromiseMargin
		if now-max(answered, state.epochSince) >= successorTimeout {
			silent = append(silent, successor)
		}
	}
	return silent
}

// wantsRenewal tells whether the owner should found a new epoch: a successor is
// missing, more daemons can be successors, or another daemon announced an intent.
func (l *Lease) wantsRenewal(now timer.Millis, shard identifier.Shard, current Record) bool {
	state := &l.shards[shard]
	if state.released == current.Epoch {
		return false
	}
	if l.ownership.HasIntent(shard) {
		return true
	}
	if len(current.Successors) < maxSuccessors && len(l.members) > len(current.Successors)+1 {
		return now-state.epochSince >= joinDelay
	}
	return len(l.silentSuccessors(now, shard, current)) > 0
}

func (l *Lease) takeOver(now timer.Millis, shard identifier.Shard, current Record) (Record, bool) {
	state := &l.shards[shard]
	wait := rankDelay * timer.Millis(slices.Index(current.Successors, l.self))
	if state.imported == current.Epoch {
		wait = 0
	}
	if now < max(state.promisedUntil, l.startedAt)+wait || !l.mayAppend(now, shard) {
		return Record{}, false
	}
	state.takingOver = true
	return l.own(now, shard, current), true
}

// outsider acts when owner and successors are all gone from the membership.
func (l *Lease) outsider(now timer.Millis, shard identifier.Shard, current Record) (Record, bool) {
	state := &l.shards[shard]
	if state.intentAppendedAt != 0 {
		if now-state.intentAppendedAt < IntentDelay || !l.mayAppend(now, shard) {
			return Record{}, false
		}
		return l.own(now, shard, current), true
	}
	if l.anyRuns(current) {
		state.goneSince = 0
		return Record{}, false
	}
	if state.goneSince == 0 {
		state.goneSince = now
	}
	due := now-state.goneSince >= goneTimeout && l.mayAppend(now, shard) &&
		rankOf(shard, l.members, l.self.Instance, 1) == 0
	return Record{
		Kind: KindIntent, Shard: shard, Epoch: current.Epoch, BasedOnEpoch: current.Epoch, Owner: l.self,
	}, due
}

// anyRuns tells whether the owner or a successor of an epoch is a member.
func (l *Lease) anyRuns(current Record) bool {
	if _, runs := l.running[current.Owner]; runs {
		return true
	}
	return slices.ContainsFunc(current.Successors, func(c Claimant) bool {
		_, runs := l.running[c]
		return runs
	})
}

// renew asks all successors of this daemon's shards for promises, one message
// for each successor.
func (l *Lease) renew(now timer.Millis, actions []Action) []Action {
	if now-l.lastRenewal < RenewInterval {
		return actions
	}
	l.lastRenewal = now
	requests := map[Claimant][]ShardEpoch{}
	var order []Claimant
	for i := range l.shards {
		shard := identifier.Shard(i)
		current := l.ownership.Current(shard)
		if current.Owner != l.self || current.Epoch == 0 || l.shards[i].released == current.Epoch {
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
