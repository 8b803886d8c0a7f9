package reducer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"maps"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Hash identifies a folded state. It detects faults, not attacks: a writer to
// the stream could forge the sums that it is made of.
type Hash [sha256.Size]byte

// String formats the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText encodes the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText decodes 64 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(h) {
		return Error.New("state hash %.80q is not %d hexadecimal digits", text, 2*len(h))
	}
	copy(h[:], decoded)
	return nil
}

// digest is the SHA-256 of one item, as four numbers.
type digest [4]uint64

// sum adds up digests. The order of items does not matter and an item can be
// removed again, so a change costs one short encoding and one SHA-256 for each
// item it replaces, whatever the size of the sheet.
type sum [4]uint64

func (s *sum) add(d digest) {
	for i := range s {
		s[i] += d[i]
	}
}

func (s *sum) subtract(d digest) {
	for i := range s {
		s[i] -= d[i]
	}
}

// digestOf hashes an item with the name of its set, so that equal items of two
// sets differ. The items hold text, numbers and lists only, so encoding them
// never fails.
func digestOf(set string, item any) digest {
	data, _ := json.Marshal(item)
	return digestBytes(set, data)
}

func digestBytes(set string, data []byte) digest {
	buffer := make([]byte, 0, len(set)+1+len(data))
	buffer = append(buffer, set...)
	buffer = append(buffer, 0)
	hashed := sha256.Sum256(append(buffer, data...))
	var d digest
	for i := range d {
		d[i] = binary.BigEndian.Uint64(hashed[8*i:])
	}
	return d
}

func (r RecentID) digest() digest {
	data := binary.BigEndian.AppendUint64(nil, uint64(r.Offset))
	data = binary.BigEndian.AppendUint64(data, uint64(r.Version))
	return digestBytes("recent", append(data, r.ID...))
}

// digest leaves out the descriptions of findings and edits: their wording may
// differ between releases, which must not look like a divergence.
func (e AuditEntry) digest() digest {
	e.Findings, e.Edits = nil, nil
	return digestOf("audit", e)
}

func returnedDigest(domain identifier.FailureDomain, at timer.Millis) digest {
	data := binary.BigEndian.AppendUint64(nil, uint64(at))
	return digestBytes("returned", append(data, domain...))
}

// sums holds a sum for each part of the state, updated with every change.
type sums struct {
	sheet, returned, recent, audit sum
}

// update subtracts the items that the edits replaced and adds those that they
// set.
func (s *sums) update(before, after *parser.Sheet, edits parser.Edits) {
	if before == nil {
		before = new(parser.Sheet)
		s.sheet.add(digestOf("globals", before.Globals))
	}
	for _, edit := range edits {
		switch e := edit.(type) {
		case parser.SetGlobals:
			s.sheet.subtract(digestOf("globals", before.Globals))
			s.sheet.add(digestOf("globals", after.Globals))
		case parser.SetFailureDomain:
			replace(s, "failure_domain", e.FailureDomain.Name, before.FailureDomain, after.FailureDomain)
		case parser.RemoveFailureDomain:
			replace(s, "failure_domain", e.Name, before.FailureDomain, after.FailureDomain)
		case parser.SetInstanceClass:
			replace(s, "instance_class", e.InstanceClass.Name, before.Class, after.Class)
		case parser.RemoveInstanceClass:
			replace(s, "instance_class", e.Name, before.Class, after.Class)
		case parser.SetService:
			replace(s, "service", e.Service.Name, before.Service, after.Service)
		case parser.RemoveService:
			replace(s, "service", e.Name, before.Service, after.Service)
		}
	}
}

func replace[N, T any](s *sums, set string, name N, before, after func(N) (T, bool)) {
	if item, ok := before(name); ok {
		s.sheet.subtract(digestOf(set, item))
	}
	if item, ok := after(name); ok {
		s.sheet.add(digestOf(set, item))
	}
}

// updateReturned returns the times at which failure domains returned to
// service, updated by a change. A failure domain returns by a change if it was
// out of service when the change was published and the new sheet has it in
// service at that time.
func (s *sums) updateReturned(state State, after *parser.Sheet, change Change) map[identifier.FailureDomain]timer.Millis {
	returned := maps.Clone(state.ReturnedAt)
	if returned == nil {
		returned = make(map[identifier.FailureDomain]timer.Millis)
	}
	for _, edit := range change.Edits {
		switch e := edit.(type) {
		case parser.SetFailureDomain:
			if state.Sheet == nil {
				continue
			}
			before, known := state.Sheet.FailureDomain(e.FailureDomain.Name)
			if known && before.OutAt(change.PublishedAt) && !e.FailureDomain.OutAt(change.PublishedAt) {
				s.removeReturned(returned, before.Name)
				returned[before.Name] = change.PublishedAt
				s.returned.add(returnedDigest(before.Name, change.PublishedAt))
			}
		case parser.RemoveFailureDomain:
			s.removeReturned(returned, e.Name)
		}
	}
	return returned
}

func (s *sums) removeReturned(returned map[identifier.FailureDomain]timer.Millis, domain identifier.FailureDomain) {
	if at, known := returned[domain]; known {
		s.returned.subtract(returnedDigest(domain, at))
		delete(returned, domain)
	}
}

// hash covers the whole state. Its cost does not depend on the size of the
// sheet: it hashes the offset, the version and four sums, 144 bytes in all.
func (r *Reducer) hash() Hash {
	data := make([]byte, 0, 144)
	data = binary.BigEndian.AppendUint64(data, uint64(r.state.FoldedOffset))
	data = binary.BigEndian.AppendUint64(data, uint64(r.state.Version))
	for _, part := range []sum{r.sums.sheet, r.sums.returned, r.sums.recent, r.sums.audit} {
		for _, word := range part {
			data = binary.BigEndian.AppendUint64(data, word)
		}
	}
	return sha256.Sum256(data)
}

// history holds the state hashes of the latest offsets without a gap.
type history struct {
	hashes boundedList[Hash]
	last   identifier.Offset
}

func (h *history) push(offset identifier.Offset, hash Hash) {
	h.hashes.push(hash)
	h.last = offset
}

func (h *history) at(offset identifier.Offset) (Hash, bool) {
	count := len(h.hashes.items)
	if offset > h.last || count == 0 {
		return Hash{}, false
	}
	back := h.last - offset
	if back >= identifier.Offset(count) {
		return Hash{}, false
	}
	return h.hashes.items[count-1-int(back)], true
}
