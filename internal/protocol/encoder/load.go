package encoder

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Load is admission's current load, as probes and answers carry it.
type Load struct {
	InFlight int32
	Queued   int32
	Limit    int32
	Latency  timer.Millis
	Cold     bool
}

// LoadFieldBytes bounds the size of the load header with its name on the wire.
const LoadFieldBytes = 64

const loadBytes = 17

// String formats the load for a header.
func (l Load) String() string {
	buf := make([]byte, 0, 32)
	for _, number := range []int64{int64(l.InFlight), int64(l.Queued), int64(l.Limit), int64(l.Latency)} {
		buf = strconv.AppendInt(buf, number, 10)
		buf = append(buf, ',')
	}
	if l.Cold {
		return string(append(buf, '1'))
	}
	return string(append(buf, '0'))
}

// ParseLoad reads and checks a load as String formats it.
func ParseLoad(text string) (Load, error) {
	fields := strings.Split(text, ",")
	if len(fields) != 5 {
		return Load{}, Error.New("%s %q does not have 5 fields", HeaderLoad, text)
	}
	var numbers [5]int64
	for i, field := range fields {
		number, err := strconv.ParseInt(field, 10, 32)
		if err != nil || number < 0 {
			return Load{}, Error.New("%s %q: field %d is not a count", HeaderLoad, text, i)
		}
		numbers[i] = number
	}
	return Load{
		InFlight: int32(numbers[0]), Queued: int32(numbers[1]), Limit: int32(numbers[2]),
		Latency: timer.Millis(numbers[3]), Cold: numbers[4] == 1,
	}, nil
}

// AppendBinary appends the load in network byte order.
func (l Load) AppendBinary(buf []byte) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(l.InFlight))
	buf = binary.BigEndian.AppendUint32(buf, uint32(l.Queued))
	buf = binary.BigEndian.AppendUint32(buf, uint32(l.Limit))
	buf = binary.BigEndian.AppendUint32(buf, uint32(l.Latency))
	if l.Cold {
		return append(buf, 1)
	}
	return append(buf, 0)
}

// DecodeBinary reads and checks what AppendBinary writes.
func (l *Load) DecodeBinary(data []byte) error {
	if len(data) != loadBytes {
		return Error.New("load has %d bytes, want %d", len(data), loadBytes)
	}
	decoded := Load{
		InFlight: int32(binary.BigEndian.Uint32(data)),
		Queued:   int32(binary.BigEndian.Uint32(data[4:])),
		Limit:    int32(binary.BigEndian.Uint32(data[8:])),
		Latency:  timer.Millis(binary.BigEndian.Uint32(data[12:])),
		Cold:     data[16] == 1,
	}
	if decoded.InFlight < 0 || decoded.Queued < 0 || decoded.Limit < 0 {
		return Error.New("load has a negative count")
	}
	*l = decoded
	return nil
}
