package tracker

import (
	"cmp"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

const (
	// readersPerDomain is the number of daemons of a failure domain that read
	// the log.
	readersPerDomain = 3
	// watchersPerMember is the number of ring neighbours that check each daemon.
	watchersPerMember = 3
	// remoteWatched is the number of daemons of other failure domains of the
	// region that a daemon checks as well, since a failure domain that is lost as
	// a whole has no watcher left.
	remoteWatched = 2
	// suspicionReaders is the number of log readers of other failure domains of
	// the region that receive each suspicion.
	suspicionReaders = 3

	// Distinct keys make the orders below independent of each other.
	readerKey = 0x72656164
	rankKey   = 0x72616e6b
)

// hashInstance is 64-bit FNV-1a (Fowler, Noll, Vo). All daemons of a deployment
// must agree on it, so it must not change between releases.
func hashInstance(instance identifier.InstanceID) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(instance); i++ {
		h ^= uint64(instance[i])
		h *= 1099511628211
	}
	return mix(h, 0)
}

// mix is the output function of SplitMix64 (Steele, Lea, Flood: Fast splittable
// pseudorandom number generators, OOPSLA 2014).
func mix(h, key uint64) uint64 {
	h ^= key * 0x9e3779b97f4a7c15
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Readers returns the log readers of a failure domain, ordered by rank. They
// are chosen by rendezvous hashing (Thaler and Ravishankar, 1998) among the
// members that are not draining.
func (t *Tracker) Readers(domain identifier.FailureDomain) []Member {
	id, ok := t.table.domainNames.ids[domain]
	if !ok || int(id) >= len(t.table.domains) {
		return nil
	}
	return t.table.readers(&t.table.domains[id])
}

func (t *table) readers(d *domainRows) []Member {
	if d.readersValid {
		return d.readers
	}
	// A single pass keeps the first ranks. Sorting all 1,200 members of a failure
	// domain after every change of one of them took most of the time of a change.
	ranked := make([]uint32, 0, readersPerDomain+1)
	var last uint64
	for _, i := range d.ring {
		r := &t.rows[i]
		if r.state == Draining || len(ranked) == readersPerDomain && mix(r.hash, readerKey) > last {
			continue
		}
		at, _ := slices.BinarySearchFunc(ranked, i, t.readerOrder)
		ranked = slices.Insert(ranked, at, i)
		ranked = ranked[:min(len(ranked), readersPerDomain)]
		last = mix(t.rows[ranked[len(ranked)-1]].hash, readerKey)
	}
	d.readers = make([]Member, 0, len(ranked))
	for _, i := range ranked {
		d.readers = append(d.readers, t.member(&t.rows[i]))
	}
	d.readersValid = true
	return d.readers
}

func (t *table) readerOrder(a, b uint32) int {
	return cmp.Compare(mix(t.rows[a].hash, readerKey), mix(t.rows[b].hash, readerKey))
}

// Relays returns the log readers of a failure domain that a daemon can follow,
// without the daemon itself. The order differs between daemons, so that the
// followers spread over the readers.
func (t *Tracker) Relays(domain identifier.FailureDomain, self identifier.InstanceID) []Member {
	relays := slices.DeleteFunc(slices.Clone(t.Readers(domain)), func(m Member) bool { return m.Instance == self })
	key := hashInstance(self)
	slices.SortFunc(relays, func(a, b Member) int {
		return cmp.Compare(mix(hashInstance(a.Instance), key), mix(hashInstance(b.Instance), key))
	})
	return relays
}

// Watched returns the members that a member's daemon checks: ring neighbours in
// its failure domain and in others of its region.
func (t *Tracker) Watched(self identifier.InstanceID) []Member {
	return append(t.neighbours(self), t.remoteNeighbours(self)...)
}

// remoteNeighbours returns the members of other failure domains of the region
// that follow a member by hash. Other regions are left out, since a region that
// is cut off would be removed as a whole and join again as a whole.
func (t *Tracker) remoteNeighbours(self identifier.InstanceID) []Member {
	i, ok := t.table.index[self]
	if !ok || t.table.rows[i].left {
		return nil
	}
	if t.remoteOf == self && t.remoteVersion == t.table.version {
		return t.remote
	}
	own := &t.table.rows[i]
	var nearest []uint32
	distance := func(i uint32) uint64 { return t.table.rows[i].hash - own.hash }
	for n := range t.table.rows {
		r := &t.table.rows[n]
		if r.instance == "" || r.left || r.region != own.region || r.domain == own.domain {
			continue
		}
		at, _ := slices.BinarySearchFunc(nearest, uint32(n), func(a, b uint32) int { return cmp.Compare(distance(a), distance(b)) })
		nearest = slices.Insert(nearest, at, uint32(n))
		nearest = nearest[:min(len(nearest), remoteWatched)]
	}
	t.remote = make([]Member, 0, len(nearest))
	for _, n := range nearest {
		t.remote = append(t.remote, t.table.member(&t.table.rows[n]))
	}
	t.remoteOf, t.remoteVersion = self, t.table.version
	return t.remote
}

// SuspicionReaders returns the log readers that decide about a suspicion: those
// of the suspect's failure domain, and the first of other failure domains of its
// region in case all of them are lost.
func (t *Tracker) SuspicionReaders(suspect identifier.InstanceID) []Member {
	r := t.table.find(suspect)
	if r == nil || r.left {
		return nil
	}
	var remote []Member
	for i := range t.table.domains {
		if uint32(i) == r.domain {
			continue
		}
		for _, m := range t.table.readers(&t.table.domains[i]) {
			if t.table.find(m.Instance).region == r.region {
				remote = append(remote, m)
			}
		}
	}
	slices.SortFunc(remote, func(a, b Member) int {
		return cmp.Compare(mix(hashInstance(a.Instance), rankKey), mix(hashInstance(b.Instance), rankKey))
	})
	return append(slices.Clone(t.table.readers(&t.table.domains[r.domain])), remote[:min(len(remote), suspicionReaders)]...)
}

// neighbours returns the ring neighbours in a member's failure domain. The ring
// is ordered by hash, so that neighbours by name, which often share a rack, are
// not neighbours on the ring.
func (t *Tracker) neighbours(self identifier.InstanceID) []Member {
	i, ok := t.table.index[self]
	if !ok || t.table.rows[i].left {
		return nil
	}
	ring := t.table.domains[t.table.rows[i].domain].ring
	at, _ := slices.BinarySearchFunc(ring, i, t.table.ringOrder)
	count := min(watchersPerMember, len(ring)-1)
	watched := make([]Member, 0, count)
	for n := 1; n <= count; n++ {
		watched = append(watched, t.table.member(&t.table.rows[ring[(at+n)%len(ring)]]))
	}
	return watched
}

func (t *Tracker) watches(instance identifier.InstanceID) bool {
	return slices.ContainsFunc(t.Watched(t.config.Self), func(m Member) bool { return m.Instance == instance })
}

// ReaderRank returns the rank of a daemon among the log readers of all failure
// domains, from 0 on, or false if it is not a reader.
func (t *Tracker) ReaderRank(self identifier.InstanceID) (int, bool) {
	if t.ranks == nil || t.rankVersion != t.table.version {
		t.ranks = t.ranks[:0]
		for i := range t.table.domains {
			for _, m := range t.table.readers(&t.table.domains[i]) {
				t.ranks = append(t.ranks, m.Instance)
			}
		}
		slices.SortFunc(t.ranks, func(a, b identifier.InstanceID) int {
			return cmp.Compare(mix(hashInstance(a), rankKey), mix(hashInstance(b), rankKey))
		})
		t.rankVersion = t.table.version
	}
	rank := slices.Index(t.ranks, self)
	return rank, rank >= 0
}
