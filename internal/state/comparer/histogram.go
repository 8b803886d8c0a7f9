package comparer

import (
	"encoding/base64"
	"encoding/binary"
	"math"
	"math/bits"

	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// bucketOf returns the bucket of a run time.
func bucketOf(d timer.Millis) int {
	if d <= 1 {
		return 0
	}
	bucket := 2 * (bits.Len64(uint64(d)) - 1)
	// The upper half of a power of two starts at its square root of two.
	if float64(d) >= float64(uint64(1)<<(bucket/2))*math.Sqrt2 {
		bucket++
	}
	return min(bucket, timeBuckets-1)
}

// total returns the number of runs.
func (h *Histogram) total() uint64 {
	sum := uint64(0)
	for _, n := range h {
		sum += uint64(n)
	}
	return sum
}

// atLeast returns the number of runs in a bucket and those of longer runs.
func (h *Histogram) atLeast(bucket int) uint64 {
	sum := uint64(0)
	for i := bucket; i < timeBuckets; i++ {
		sum += uint64(h[i])
	}
	return sum
}

// median returns the position of the median in buckets; 4.5 is the middle of bucket 4.
func (h *Histogram) median() float64 {
	sum, half := 0.0, float64(h.total())/2
	for i, n := range h {
		if sum+float64(n) >= half && n > 0 {
			return float64(i) + (half-sum)/float64(n)
		}
		sum += float64(n)
	}
	return timeBuckets
}

func (h *Histogram) add(other *Histogram) {
	for i, n := range other {
		h[i] += n
	}
}

// subtract removes the runs of an earlier state of the histogram.
func (h *Histogram) subtract(earlier *Histogram) {
	for i, n := range earlier {
		h[i] -= min(h[i], n)
	}
}

// MarshalText encodes the first used bucket and the counts up to the last used one as
// varints in base64. A list of numbers would be three times as long, and nine routes would
// not fit a datagram.
func (h Histogram) MarshalText() ([]byte, error) {
	first, last := 0, timeBuckets
	for first < timeBuckets && h[first] == 0 {
		first++
	}
	for last > first && h[last-1] == 0 {
		last--
	}
	if first == last {
		return nil, nil
	}
	encoded := []byte{byte(first)}
	for _, n := range h[first:last] {
		encoded = binary.AppendUvarint(encoded, uint64(n))
	}
	return base64.RawStdEncoding.AppendEncode(nil, encoded), nil
}

// UnmarshalText decodes what MarshalText encodes.
func (h *Histogram) UnmarshalText(text []byte) error {
	*h = Histogram{}
	encoded, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return Error.New("histogram of %d characters is not base64", len(text))
	}
	if len(encoded) == 0 {
		return nil
	}
	bucket := int(encoded[0])
	for encoded = encoded[1:]; len(encoded) > 0; bucket++ {
		n, size := binary.Uvarint(encoded)
		if size <= 0 || n > math.MaxUint32 || bucket >= timeBuckets {
			return Error.New("histogram with an invalid count or more than %d buckets", timeBuckets)
		}
		h[bucket] = uint32(n)
		encoded = encoded[size:]
	}
	return nil
}
