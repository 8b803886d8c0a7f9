package dispatcher

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
)

// loadFields is the number of fields of the load header. The last one is left out while
// it is zero: earlier versions accept five fields only.
const (
	loadFields      = 6
	leastLoadFields = loadFields - 1
)

// encodeLoad writes the load of the own instance into an answer.
func encodeLoad(header *fasthttp.ResponseHeader, load registrar.Load) {
	buf := make([]byte, 0, 32)
	cold := int32(0)
	if load.Cold {
		cold = 1
	}
	for i, field := range [loadFields]int32{load.Running, load.Queued, load.Limit, load.SlowdownPercent, cold, load.StartDelayMs} {
		if i >= leastLoadFields && field == 0 {
			break
		}
		if i > 0 {
			buf = append(buf, ' ')
		}
		buf = strconv.AppendInt(buf, int64(field), 10)
	}
	header.SetBytesV(encoder.HeaderLoad, buf)
}

// decodeLoad decodes and validates the load in an answer.
func decodeLoad(header *fasthttp.ResponseHeader) (registrar.Load, error) {
	text := string(header.Peek(encoder.HeaderLoad))
	parts := strings.Fields(text)
	if len(parts) < leastLoadFields || len(parts) > loadFields {
		return registrar.Load{}, Error.New("%s %q does not have %d or %d fields", encoder.HeaderLoad, text, leastLoadFields, loadFields)
	}
	var fields [loadFields]int32
	for i, part := range parts {
		value, err := strconv.ParseInt(part, 10, 32)
		if err != nil || value < 0 {
			return registrar.Load{}, Error.New("%s %q: field %d is not a non-negative 32-bit integer", encoder.HeaderLoad, text, i)
		}
		fields[i] = int32(value)
	}
	return registrar.Load{
		Running: fields[0], Queued: fields[1], Limit: fields[2], SlowdownPercent: fields[3], Cold: fields[4] > 0, StartDelayMs: fields[5],
	}, nil
}
