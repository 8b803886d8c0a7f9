package throttler

import (
	"encoding/binary"
	"math"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Error is the class of errors of this package.
var Error = errs.Class("throttler")

const (
	// maxMessageBytes bounds a message; larger datagrams would be fragmented.
	maxMessageBytes = 1300
	// maxUseBytes and maxLimitBytes are the largest encodings of one entry, and
	// maxHeaderBytes that of the fields before the entries.
	maxUseBytes    = 4 + 3*binary.MaxVarintLen32 + shareBytes
	maxLimitBytes  = 4 + shareBytes
	maxHeaderBytes = 4 + 3*binary.MaxVarintLen64 + binary.MaxVarintLen32
	shareBytes     = 2
	// maxUses and maxLimits keep every message below maxMessageBytes.
	maxUses   = (maxMessageBytes - maxHeaderBytes) / maxUseBytes
	maxLimits = (maxMessageBytes - maxHeaderBytes) / maxLimitBytes
)

// MaxLimits is the largest number of limits in a grant.
const MaxLimits = maxLimits

// AccountKey is a 32-bit hash of the name of a client account.
type AccountKey uint32

// KeyOf returns the key of an account.
func KeyOf(name identifier.AccountName) AccountKey { return AccountKey(name.Hash()) }

// NodeKey is a 32-bit hash of the name of a node.
type NodeKey uint32

// NodeKeyOf returns the key of a node.
func NodeKeyOf(node identifier.InstanceID) NodeKey {
	return NodeKey(KeyOf(identifier.AccountName(node)))
}

// Rate is a number of requests in 1000 s.
type Rate uint32

// RateOf converts requests a second.
func RateOf(perSecond float64) Rate { return Rate(min(max(0, perSecond*1000+0.5), math.MaxUint32)) }

// PerSecond returns the rate in requests a second.
func (r Rate) PerSecond() float64 { return float64(r) / 1000 }

// Share is the part of an account's requests that a daemon admits, in units of
// 1/FullShare. An account with FullShare is open.
type Share uint16

// FullShare is the share of an open account.
const FullShare Share = 1 << 14

// ShareOf converts a fraction. Values outside 0 to 1 are cut off.
func ShareOf(fraction float64) Share {
	if !(fraction > 0) { // Also if it is not a number.
		return 0
	}
	return Share(min(fraction, 1) * float64(FullShare))
}

// Fraction returns the share as a number from 0 to 1.
func (s Share) Fraction() float64 { return float64(s) / float64(FullShare) }

// Use is what a daemon reports of one account.
type Use struct {
	Account AccountKey
	// Offered is the present rate of requests, admitted or not.
	Offered Rate
	// Admitted counts all requests admitted since the daemon started, less those
	// returned, modulo 2^32.
	Admitted uint32
	// Unacknowledged is the part of Admitted that no grant has acknowledged. A
	// coordinator that does not know the account at this daemon counts these.
	Unacknowledged uint32
	// Held is the share that the daemon applies.
	Held Share
}

// MaxUses is the largest number of accounts in a report.
const MaxUses = maxUses

// UseReport is a report of a daemon to the coordinator. An account that it does not name
// has no requests at present, unless the report is full.
type UseReport struct {
	Node        NodeKey
	Incarnation identifier.Incarnation
	// Epoch is the latest coordinator that the daemon knows.
	Epoch identifier.Epoch
	// Sequence numbers the reports of an incarnation from 1.
	Sequence uint64
	Uses     []Use
}

// Limit is the share of one metered account.
type Limit struct {
	Account AccountKey
	Share   Share
}

// Grant is the coordinator's answer to a report. It names all metered accounts; the
// others are open.
type Grant struct {
	// Incarnation and Sequence are those of the report that is answered.
	Incarnation identifier.Incarnation
	Sequence    uint64
	Epoch       identifier.Epoch
	Limits      []Limit
}

// Encode appends the report to data. Uses beyond those that fit are left out.
func (r UseReport) Encode(data []byte) []byte {
	uses := r.Uses[:min(len(r.Uses), maxUses)]
	data = binary.LittleEndian.AppendUint32(data, uint32(r.Node))
	data = binary.AppendUvarint(data, uint64(r.Incarnation))
	data = binary.AppendUvarint(data, uint64(r.Epoch))
	data = binary.AppendUvarint(data, r.Sequence)
	data = binary.AppendUvarint(data, uint64(len(uses)))
	for _, use := range uses {
		data = binary.LittleEndian.AppendUint32(data, uint32(use.Account))
		data = binary.AppendUvarint(data, uint64(use.Offered))
		data = binary.AppendUvarint(data, uint64(use.Admitted))
		data = binary.AppendUvarint(data, uint64(use.Unacknowledged))
		data = binary.LittleEndian.AppendUint16(data, uint16(use.Held))
	}
	return data
}

// DecodeUseReport decodes and checks a report.
func DecodeUseReport(data []byte) (UseReport, error) {
	d := decoder{data: data}
	report := UseReport{
		Node: NodeKey(d.fixed32()), Incarnation: identifier.Incarnation(d.varint(math.MaxUint64)),
		Epoch: identifier.Epoch(d.varint(math.MaxUint64)), Sequence: d.varint(math.MaxUint64),
	}
	count := d.varint(maxUses)
	for range count {
		report.Uses = append(report.Uses, Use{
			Account: AccountKey(d.fixed32()), Offered: Rate(d.varint(math.MaxUint32)), Admitted: uint32(d.varint(math.MaxUint32)),
			Unacknowledged: uint32(d.varint(math.MaxUint32)), Held: d.share(),
		})
		if d.failed {
			break
		}
	}
	if err := d.finish(); err != nil {
		return UseReport{}, err
	}
	if report.Incarnation == 0 || report.Sequence == 0 {
		return UseReport{}, Error.New("report without incarnation or sequence")
	}
	return report, nil
}

// Encode appends the grant to data. Limits beyond those that fit are left out.
func (g Grant) Encode(data []byte) []byte {
	limits := g.Limits[:min(len(g.Limits), maxLimits)]
	data = binary.AppendUvarint(data, uint64(g.Incarnation))
	data = binary.AppendUvarint(data, g.Sequence)
	data = binary.AppendUvarint(data, uint64(g.Epoch))
	data = binary.AppendUvarint(data, uint64(len(limits)))
	for _, limit := range limits {
		data = binary.LittleEndian.AppendUint32(data, uint32(limit.Account))
		data = binary.LittleEndian.AppendUint16(data, uint16(limit.Share))
	}
	return data
}

// DecodeGrant decodes and checks a grant.
func DecodeGrant(data []byte) (Grant, error) {
	d := decoder{data: data}
	grant := Grant{
		Incarnation: identifier.Incarnation(d.varint(math.MaxUint64)), Sequence: d.varint(math.MaxUint64),
		Epoch: identifier.Epoch(d.varint(math.MaxUint64)),
	}
	count := d.varint(maxLimits)
	for range count {
		grant.Limits = append(grant.Limits, Limit{Account: AccountKey(d.fixed32()), Share: d.share()})
		if d.failed {
			break
		}
	}
	if err := d.finish(); err != nil {
		return Grant{}, err
	}
	if grant.Incarnation == 0 || grant.Sequence == 0 || grant.Epoch == 0 {
		return Grant{}, Error.New("grant without incarnation, sequence or epoch")
	}
	return grant, nil
}

// decoder reads fields until one is truncated or out of range.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) varint(largest uint64) uint64 {
	value, n := binary.Uvarint(d.data)
	if d.failed || n <= 0 || value > largest {
		d.failed = true
		return 0
	}
	d.data = d.data[n:]
	return value
}

func (d *decoder) fixed32() uint32 {
	if d.failed || len(d.data) < 4 {
		d.failed = true
		return 0
	}
	value := binary.LittleEndian.Uint32(d.data)
	d.data = d.data[4:]
	return value
}

func (d *decoder) share() Share {
	if d.failed || len(d.data) < shareBytes {
		d.failed = true
		return 0
	}
	value := Share(binary.LittleEndian.Uint16(d.data))
	d.data = d.data[shareBytes:]
	d.failed = value > FullShare
	return value
}

func (d *decoder) finish() error {
	if d.failed {
		return Error.New("message is truncated or has a field out of range")
	}
	if len(d.data) > 0 {
		return Error.New("message has %d bytes too many", len(d.data))
	}
	return nil
}
