// Package spreader decides which daemons receive a datagram, so that what a daemon
// sends does not grow with the fleet.
//
// In a small fleet every daemon receives everything. In a large one the daemons that
// use an instance receive its load, and random members receive the rest: each passes
// on a new position of the configuration as soon as it has it, so a change reaches a
// fleet of n daemons in about log n rounds (Demers et al., "Epidemic algorithms for
// replicated database maintenance", 1987). Most random members are in the sender's
// failure domain, since bytes between failure domains cost more.
//
// # Usage
//
//	s := spreader.New(domain, random)
//	s.SetMembers(members)
//	for _, m := range s.Targets(spreader.Periodic, users) { ... }
//
// A Spreader is not safe for concurrent use; its owner serialises calls.
package spreader

import (
	"math/rand/v2"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

const (
	// SmallFleet is the number of members up to which each receives every datagram.
	SmallFleet = 32
	// maxUsers bounds the users of an instance that receive its load. The others learn
	// it from the answers to their attempts.
	maxUsers = 32
	// domainSample and otherSample are the random members in the own failure domain and
	// in others that receive a periodic datagram.
	domainSample = 4
	otherSample  = 2
	// changeFanOut multiplies the samples for a change, so that it needs fewer rounds.
	changeFanOut = 2
	// serviceSample bounds the members that OfService returns. If each passes on what it
	// hears, one in exp(8) hears nothing.
	serviceSample = 8
	// introducedPerService and maxIntroduced bound the members that a new daemon sends
	// its report to. Their answers are the first instances that it can use.
	introducedPerService = 8
	maxIntroduced        = 32
)

// Kind is the kind of a datagram.
type Kind int

// Kinds of datagrams.
const (
	// Load is a change of the load.
	Load Kind = iota
	// Periodic is the datagram of each interval.
	Periodic
	// Change is a change of the daemon's state or of its position.
	Change
)

// Spreader holds the members of the fleet.
type Spreader struct {
	domain identifier.FailureDomain
	random *rand.Rand
	// same and other are the members in the own failure domain and in others.
	same, other []registrar.Member
}

// New returns a Spreader for a daemon in a failure domain.
func New(domain identifier.FailureDomain, random *rand.Rand) *Spreader {
	return &Spreader{domain: domain, random: random}
}

// SetMembers sets the other daemons.
func (s *Spreader) SetMembers(members []registrar.Member) {
	s.same, s.other = s.same[:0], s.other[:0]
	for _, m := range members {
		if m.FailureDomain == s.domain {
			s.same = append(s.same, m)
		} else {
			s.other = append(s.other, m)
		}
	}
}

// Targets returns the members that receive a datagram. Users reports whether a member
// sends attempts to the own instance.
func (s *Spreader) Targets(kind Kind, users func(registrar.Member) bool) []registrar.Member {
	if len(s.same)+len(s.other) <= SmallFleet {
		return slices.Concat(s.same, s.other)
	}
	targets := s.users(users)
	switch kind {
	case Load:
		return targets
	case Periodic:
		return s.addSample(targets, 1)
	case Change:
		return s.addSample(targets, changeFanOut)
	}
	return targets
}

// users returns up to maxUsers users, those in the own failure domain first: at equal
// load they use this instance rather than one of another failure domain.
func (s *Spreader) users(uses func(registrar.Member) bool) []registrar.Member {
	targets := s.matching(nil, s.same, uses)
	if len(targets) > maxUsers {
		s.shuffle(targets)
		return targets[:maxUsers]
	}
	others := s.matching(nil, s.other, uses)
	s.shuffle(others)
	return append(targets, others[:min(len(others), maxUsers-len(targets))]...)
}

func (s *Spreader) matching(targets, members []registrar.Member, matches func(registrar.Member) bool) []registrar.Member {
	for _, m := range members {
		if matches(m) {
			targets = append(targets, m)
		}
	}
	return targets
}

func (s *Spreader) shuffle(members []registrar.Member) {
	s.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// addSample appends random members that are no targets yet. A failure domain with too
// few members is replaced by the others.
func (s *Spreader) addSample(targets []registrar.Member, factor int) []registrar.Member {
	wanted := factor * (domainSample + otherSample)
	same := min(factor*domainSample, len(s.same))
	targets = s.pick(targets, s.same, same)
	targets = s.pick(targets, s.other, min(wanted-same, len(s.other)))
	return targets
}

// pick appends up to count random members. It may find fewer if most are targets.
func (s *Spreader) pick(targets, from []registrar.Member, count int) []registrar.Member {
	for range count {
		targets = s.addOnce(targets, from[s.random.IntN(len(from))])
	}
	return targets
}

// OfService returns random members of a service, so that each of its members has
// several chances to hear of what concerns the service alone.
func (s *Spreader) OfService(service identifier.ServiceName) []registrar.Member {
	members := s.matching(nil, s.same, func(m registrar.Member) bool { return m.Service == service })
	members = s.matching(members, s.other, func(m registrar.Member) bool { return m.Service == service })
	s.shuffle(members)
	return members[:min(len(members), serviceSample)]
}

func (s *Spreader) addOnce(targets []registrar.Member, m registrar.Member) []registrar.Member {
	if slices.ContainsFunc(targets, func(t registrar.Member) bool { return t.Node == m.Node }) {
		return targets
	}
	return append(targets, m)
}

// Introduction returns the members to which a daemon introduces itself: some of each
// service, those in its failure domain first.
func (s *Spreader) Introduction() []registrar.Member {
	if len(s.same)+len(s.other) <= SmallFleet {
		return slices.Concat(s.same, s.other)
	}
	same, other := slices.Clone(s.same), slices.Clone(s.other)
	s.shuffle(same)
	s.shuffle(other)
	perService := map[identifier.ServiceName]int{}
	var targets []registrar.Member
	for _, m := range slices.Concat(same, other) {
		if len(targets) < maxIntroduced && perService[m.Service] < introducedPerService {
			perService[m.Service]++
			targets = append(targets, m)
		}
	}
	return targets
}

// Bounds of the members that a daemon of a large fleet keeps.
const (
	// wantedPerService is the number of active members of a used service above which
	// no further ones are asked for their reports.
	wantedPerService = 24
	// wantedInAll is the same for the active members of all services, used or not.
	wantedInAll = 48
)

// Wanted reports whether a daemon asks an unknown member for its report. OfService and
// InAll are the active members that it knows, of the member's service and of all.
func Wanted(ofService, inAll int, used bool) bool {
	return inAll < wantedInAll || used && ofService < wantedPerService
}
