package identifier

import (
	"crypto/sha256"
	"encoding/hex"
)

// Fingerprint identifies requests with the same method, path and body.
type Fingerprint [16]byte

// NewFingerprint hashes a request with SHA-256 and keeps the first 16 bytes. The body may be
// in several segments.
func NewFingerprint(method, path string, body ...[]byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	for _, segment := range body {
		h.Write(segment)
	}
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:16])
}

// String formats the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText encodes the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText decodes 32 hexadecimal digits.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(f) {
		return Error.New("fingerprint %q is not %d hexadecimal digits", text, 2*len(f))
	}
	copy(f[:], decoded)
	return nil
}
