package encoder

import (
	"encoding/base64"
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/peerv1"
)

// Load is admission's current load, as sent in answers to probes and in responses.
type Load struct {
	InFlight int32
	Queued   int32
	Limit    int32
	// LatencyMicros is the moving mean of the backend server's latency in
	// microseconds.
	LatencyMicros int64
	Cold          bool
}

// MaxLoadHeaderBytes bounds the size of the load header, including its name, on the
// wire.
const MaxLoadHeaderBytes = 64

// Message converts the load to its wire form.
func (l Load) Message() *peerv1.Load {
	return &peerv1.Load{
		InFlight:  uint32(max(l.InFlight, 0)),
		Queued:    uint32(max(l.Queued, 0)),
		Limit:     uint32(max(l.Limit, 0)),
		LatencyUs: uint32(min(max(l.LatencyMicros, 0), math.MaxUint32)),
		Cold:      l.Cold,
	}
}

// LoadFromMessage validates and converts a load from another daemon.
func LoadFromMessage(message *peerv1.Load) (Load, error) {
	if message == nil {
		return Load{}, Error.New("load is missing")
	}
	for _, count := range []uint32{message.InFlight, message.Queued, message.Limit} {
		if count > math.MaxInt32 {
			return Load{}, Error.New("load has a count of %d", count)
		}
	}
	return Load{
		InFlight: int32(message.InFlight), Queued: int32(message.Queued), Limit: int32(message.Limit),
		LatencyMicros: int64(message.LatencyUs), Cold: message.Cold,
	}, nil
}

// String encodes the load as a header value.
func (l Load) String() string {
	data, err := proto.Marshal(l.Message())
	if err != nil {
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

// ParseLoad parses and validates a load encoded by String.
func ParseLoad(text []byte) (Load, error) {
	data, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return Load{}, Error.New("%s %q: %v", HeaderLoad, text, err)
	}
	message := new(peerv1.Load)
	if err := proto.Unmarshal(data, message); err != nil {
		return Load{}, Error.New("%s %q: %v", HeaderLoad, text, err)
	}
	return LoadFromMessage(message)
}
