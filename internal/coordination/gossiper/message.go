package gossiper

import (
	"encoding/binary"
	"encoding/json"
	"math"

	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Kinds of datagrams, stored in the first byte.
const (
	// kindReport is a Report in JSON.
	kindReport = 'r'
	// kindStatus is a statusMessage as varints: the fields that change often.
	kindStatus = 'p'
	// kindReportRequest requests a report from the receiver.
	kindReportRequest = 'q'
	// kindOutcomesRequest is an outcomesRequest.
	kindOutcomesRequest = 'o'
	// kindOutcomes is a comparer.Report in JSON.
	kindOutcomes = 'O'
)

// Position is the version of a daemon's configuration and its position in the store.
type Position struct {
	Version identifier.Version `json:"version"`
	Offset  identifier.Offset  `json:"offset"`
	Era     identifier.Era     `json:"era,omitempty"`
	// Control is the position of what the daemons have agreed on through the store.
	Control router.Position `json:"control,omitzero"`
}

// ahead reports whether a daemon at a position knows something newer than one at another.
func (p Position) ahead(other Position) bool {
	own := router.Position{Era: p.Era, Offset: p.Offset}
	return p.Version > other.Version || router.Position{Era: other.Era, Offset: other.Offset}.Before(own) || other.Control.Before(p.Control)
}

// Report is the whole state that a daemon sends to others.
type Report struct {
	Member   registrar.Member    `json:"member"`
	Position Position            `json:"position"`
	Evidence evidenceAge         `json:"evidence,omitempty"`
	Entries  []quarantiner.Entry `json:"entries,omitempty"`
}

// encode returns the datagram of a report.
func (r Report) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append([]byte{kindReport}, data...), nil
}

// statusMessage is a registrar.StatusUpdate with the sender's position.
type statusMessage struct {
	registrar.StatusUpdate
	Position Position
	Evidence evidenceAge
}

// statusFields is the number of varints in a status message. The last optionalFields
// may be missing in those of earlier versions, which ignore what follows the fields that
// they know. Evidence and the position of Control are left out while they are zero.
const (
	statusFields   = 17
	optionalFields = 8
)

func (p statusMessage) encode() []byte {
	flags := uint64(0)
	if p.Accepting {
		flags |= 1
	}
	if p.Load.Cold {
		flags |= 2
	}
	if p.StoreUnreachable {
		flags |= 4
	}
	fields := [statusFields]uint64{
		uint64(p.Incarnation), p.Revision, uint64(p.Position.Version), uint64(p.Position.Offset), flags,
		uint64(p.Load.Running), uint64(p.Load.Queued), uint64(p.Load.Limit), uint64(p.Load.SlowdownPercent),
		p.Generation, uint64(p.Service), uint64(p.Fleet), uint64(p.Load.StartDelayMs), uint64(p.Position.Era),
		uint64(p.Position.Control.Era), uint64(p.Position.Control.Offset), uint64(p.Evidence),
	}
	sent := fields[:]
	switch {
	case p.Evidence > 0:
	case p.Position.Control != (router.Position{}):
		sent = fields[:evidenceField]
	default:
		sent = fields[:controlEraField]
	}
	data := []byte{kindStatus}
	for _, field := range sent {
		data = binary.AppendUvarint(data, field)
	}
	return data
}

// Positions of fields: the first count, and those after it that are no counts.
const (
	firstCount         = 5
	generationField    = 9
	serviceField       = 10
	eraField           = 13
	controlEraField    = 14
	controlOffsetField = 15
	evidenceField      = 16
)

// checkCount returns an error if a field of a status message is out of its range.
func checkCount(field int, value uint64) error {
	limit := uint64(maxCount)
	switch field {
	case generationField, eraField, controlEraField, controlOffsetField:
		return nil
	case serviceField:
		limit = math.MaxUint32
	}
	if value > limit {
		return Error.New("status message has count %d in field %d", value, field)
	}
	return nil
}

// maxCount bounds the counts in a status message, so that they fit an int32.
const maxCount = 1 << 30

// decodeStatus decodes and checks a status message without its first byte.
func decodeStatus(data []byte) (statusMessage, error) {
	var fields [statusFields]uint64
	for i := range fields {
		if len(data) == 0 && i >= statusFields-optionalFields {
			break
		}
		value, n := binary.Uvarint(data)
		if n <= 0 {
			return statusMessage{}, Error.New("status message truncated or invalid in field %d", i)
		}
		fields[i], data = value, data[n:]
	}
	for i := firstCount; i < statusFields; i++ {
		if err := checkCount(i, fields[i]); err != nil {
			return statusMessage{}, err
		}
	}
	return statusMessage{
		StatusUpdate: registrar.StatusUpdate{
			Incarnation: identifier.Incarnation(fields[0]), Revision: fields[1], Accepting: fields[4]&1 > 0, StoreUnreachable: fields[4]&4 > 0,
			Load: registrar.Load{
				Running: int32(fields[5]), Queued: int32(fields[6]), Limit: int32(fields[7]),
				SlowdownPercent: int32(fields[8]), Cold: fields[4]&2 > 0, StartDelayMs: int32(fields[12]),
			},
			Generation: fields[generationField], Service: registrar.ServiceKey(fields[serviceField]), Fleet: uint32(fields[11]),
		},
		Position: Position{
			Version: identifier.Version(fields[2]), Offset: identifier.Offset(fields[3]), Era: identifier.Era(fields[eraField]),
			Control: router.Position{Era: identifier.Era(fields[controlEraField]), Offset: identifier.Offset(fields[controlOffsetField])},
		},
		Evidence: evidenceAge(fields[evidenceField]),
	}, nil
}
