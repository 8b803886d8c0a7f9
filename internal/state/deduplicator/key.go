package deduplicator

import (
	"encoding/hex"
	"strings"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const uuidVersion7 = 7

// CreatedAt returns the Unix time in a key that is a UUIDv7 (RFC 9562,
// section 5.7); found is false for any other key.
func CreatedAt(key identifier.IdempotencyKey) (created timer.Millis, found bool) {
	text := string(key)
	if len(text) != 36 || text[8] != '-' || text[13] != '-' || text[18] != '-' || text[23] != '-' {
		return 0, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(text, "-", ""))
	if err != nil || len(raw) != 16 || raw[6]>>4 != uuidVersion7 || raw[8]>>6 != 0b10 {
		return 0, false
	}
	for _, b := range raw[:6] {
		created = created<<8 | timer.Millis(b)
	}
	return created, true
}
