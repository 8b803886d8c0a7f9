package gossiper

import (
	"encoding/binary"
	"encoding/json"

	"github.com/magnoliaknot/magnoliaknot/internal/state/quarantiner"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Kinds of datagrams; the first byte tells them apart.
const (
	// kindReport is a whole report in JSON.
	kindReport = 'r'
	// kindPulse is the part that changes often, as varints.
	kindPulse = 'p'
	// kindQuestion asks the receiver for a whole report.
	kindQuestion = 'q'
)

// Position is how far a daemon's configuration is.
type Position struct {
	Version identifier.Version `json:"version"`
	Offset  identifier.Offset  `json:"offset"`
}

// Report is what a daemon tells others.
type Report struct {
	Member   registrar.Member    `json:"member"`
	Position Position            `json:"position"`
	Entries  []quarantiner.Entry `json:"entries,omitempty"`
}

// encode writes a whole report.
func (r Report) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append([]byte{kindReport}, data...), nil
}

// pulse is a registrar.StatusUpdate with the position.
type pulse struct {
	registrar.StatusUpdate
	Position Position
}

// pulseFields is the number of varints of a pulse.
const pulseFields = 9

func (p pulse) encode() []byte {
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
	data := []byte{kindPulse}
	for _, field := range [pulseFields]uint64{
		uint64(p.Incarnation), p.Revision, uint64(p.Position.Version), uint64(p.Position.Offset), flags,
		uint64(p.Load.Running), uint64(p.Load.Queued), uint64(p.Load.Limit), uint64(p.Load.SlowdownPercent),
	} {
		data = binary.AppendUvarint(data, field)
	}
	return data
}

// maxCount bounds the counts of a pulse, so that they fit their types.
const maxCount = 1 << 30

// decodePulse reads and checks a pulse without its first byte.
func decodePulse(data []byte) (pulse, error) {
	var fields [pulseFields]uint64
	for i := range fields {
		value, n := binary.Uvarint(data)
		if n <= 0 {
			return pulse{}, Error.New("pulse ends in field %d", i)
		}
		fields[i], data = value, data[n:]
	}
	for i := 5; i < pulseFields; i++ {
		if fields[i] > maxCount {
			return pulse{}, Error.New("pulse has a count of %d in field %d", fields[i], i)
		}
	}
	return pulse{
		StatusUpdate: registrar.StatusUpdate{
			Incarnation: identifier.Incarnation(fields[0]), Revision: fields[1], Accepting: fields[4]&1 > 0, StoreUnreachable: fields[4]&4 > 0,
			Load: registrar.Load{
				Running: int32(fields[5]), Queued: int32(fields[6]), Limit: int32(fields[7]),
				SlowdownPercent: int32(fields[8]), Cold: fields[4]&2 > 0,
			},
		},
		Position: Position{Version: identifier.Version(fields[2]), Offset: identifier.Offset(fields[3])},
	}, nil
}
