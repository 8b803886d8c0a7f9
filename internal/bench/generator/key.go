package generator

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// newKey generates a key. A UUIDv7 (RFC 9562) contains the Unix time in ms.
func newKey(kind KeyKind, wall timer.Millis, random *rand.Rand) identifier.IdempotencyKey {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], random.Uint64())
	binary.BigEndian.PutUint64(b[8:], random.Uint64())
	switch kind {
	case KeyRandom:
		return identifier.IdempotencyKey(hex.EncodeToString(b[:]))
	case KeyUUIDv7:
		low := binary.BigEndian.Uint16(b[6:8])
		binary.BigEndian.PutUint64(b[:8], uint64(wall)<<16|uint64(low))
		b[6] = b[6]&0x0f | 0x70 // version 7
		b[8] = b[8]&0x3f | 0x80 // variant of RFC 9562
		return identifier.IdempotencyKey(fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:]))
	}
	return ""
}
