package tracker

import (
	"cmp"
	"slices"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// row is one instance. Names that many rows share are stored as numbers, since a
// string header alone takes 16 bytes.
type row struct {
	instance    identifier.InstanceID
	peer        identifier.Address
	probe       identifier.Address
	incarnation identifier.Incarnation
	offset      identifier.Offset
	renewed     timer.Millis
	hash        uint64
	slots       identifier.Slots
	revision    uint32
	service     uint32
	domain      uint32
	region      uint16
	class       uint16
	state       State
	left        bool
}

type serviceRows struct {
	rows   []uint32
	cached []Member
}

type domainRows struct {
	// ring holds the members in the order of their hash.
	ring         []uint32
	readers      []Member
	readersValid bool
}

// table stores rows and the indexes over them.
type table struct {
	rows     []row
	free     []uint32
	index    map[identifier.InstanceID]uint32
	services []serviceRows
	domains  []domainRows
	live     int
	// version changes with every change of a member, but not with a renewal.
	version uint64

	serviceNames names[identifier.ServiceName]
	domainNames  names[identifier.FailureDomain]
	regionNames  names[identifier.Region]
	classNames   names[identifier.InstanceClass]
}

func newTable() *table {
	return &table{index: make(map[identifier.InstanceID]uint32)}
}

// names numbers the distinct names in the order of their first use.
type names[T ~string] struct {
	ids  map[T]uint32
	list []T
}

func (n *names[T]) id(name T) uint32 {
	if id, ok := n.ids[name]; ok {
		return id
	}
	if n.ids == nil {
		n.ids = make(map[T]uint32)
	}
	id := uint32(len(n.list))
	n.ids[name] = id
	n.list = append(n.list, name)
	return id
}

func (t *table) find(instance identifier.InstanceID) *row {
	i, ok := t.index[instance]
	if !ok {
		return nil
	}
	return &t.rows[i]
}

func (t *table) member(r *row) Member {
	return Member{
		Instance: r.instance, Incarnation: r.incarnation, Revision: r.revision,
		Service: t.serviceNames.list[r.service], FailureDomain: t.domainNames.list[r.domain],
		Region: t.regionNames.list[r.region], Class: t.classNames.list[r.class],
		Slots: r.slots, Peer: r.peer, Probe: r.probe, State: r.state,
	}
}

// put stores a member and replaces the earlier row of its instance.
func (t *table) put(m Member, offset identifier.Offset, renewed timer.Millis) {
	i := t.rowIndex(m.Instance)
	t.unlink(i)
	r := &t.rows[i]
	*r = row{
		instance: r.instance, peer: m.Peer, probe: m.Probe, incarnation: m.Incarnation,
		offset: offset, renewed: renewed, hash: r.hash, slots: m.Slots, revision: m.Revision,
		service: t.serviceNames.id(m.Service), domain: t.domainNames.id(m.FailureDomain),
		region: uint16(t.regionNames.id(m.Region)), class: uint16(t.classNames.id(m.Class)),
		state: m.State,
	}
	t.link(i)
}

// putTombstone stores a tombstone and replaces the earlier row of its instance.
func (t *table) putTombstone(instance identifier.InstanceID, incarnation identifier.Incarnation, offset identifier.Offset, renewed timer.Millis) {
	i := t.rowIndex(instance)
	t.unlink(i)
	r := &t.rows[i]
	*r = row{
		instance: r.instance, incarnation: incarnation, offset: offset,
		renewed: renewed, hash: r.hash, left: true,
	}
}

// remove deletes a tombstone.
func (t *table) remove(i uint32) {
	delete(t.index, t.rows[i].instance)
	t.rows[i] = row{left: true}
	t.free = append(t.free, i)
}

// rowIndex returns the index of the row of an instance, which it adds if there is
// none. A new row is not a member yet.
func (t *table) rowIndex(instance identifier.InstanceID) uint32 {
	if i, ok := t.index[instance]; ok {
		return i
	}
	var i uint32
	if n := len(t.free); n > 0 {
		i = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		i = uint32(len(t.rows))
		t.rows = append(t.rows, row{})
	}
	t.rows[i] = row{instance: instance, hash: hashInstance(instance), left: true}
	t.index[instance] = i
	return i
}

func (t *table) link(i uint32) {
	r := &t.rows[i]
	for int(r.service) >= len(t.services) {
		t.services = append(t.services, serviceRows{})
	}
	for int(r.domain) >= len(t.domains) {
		t.domains = append(t.domains, domainRows{})
	}
	s, d := &t.services[r.service], &t.domains[r.domain]
	s.rows = append(s.rows, i)
	at, _ := slices.BinarySearchFunc(d.ring, i, t.ringOrder)
	d.ring = slices.Insert(d.ring, at, i)
	t.live++
	t.invalidate(r)
}

func (t *table) unlink(i uint32) {
	r := &t.rows[i]
	if r.left {
		return
	}
	s, d := &t.services[r.service], &t.domains[r.domain]
	at := slices.Index(s.rows, i)
	s.rows = slices.Delete(s.rows, at, at+1)
	at, _ = slices.BinarySearchFunc(d.ring, i, t.ringOrder)
	d.ring = slices.Delete(d.ring, at, at+1)
	t.live--
	t.invalidate(r)
}

func (t *table) invalidate(r *row) {
	t.services[r.service].cached = nil
	t.domains[r.domain].readersValid = false
	t.version++
}

func (t *table) ringOrder(a, b uint32) int {
	if c := cmp.Compare(t.rows[a].hash, t.rows[b].hash); c != 0 {
		return c
	}
	return cmp.Compare(t.rows[a].instance, t.rows[b].instance)
}

func (t *table) instances(service identifier.ServiceName) []Member {
	id, ok := t.serviceNames.ids[service]
	if !ok || int(id) >= len(t.services) {
		return nil
	}
	s := &t.services[id]
	if s.cached == nil && len(s.rows) > 0 {
		s.cached = make([]Member, 0, len(s.rows))
		for _, i := range s.rows {
			s.cached = append(s.cached, t.member(&t.rows[i]))
		}
		slices.SortFunc(s.cached, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	}
	return s.cached
}
