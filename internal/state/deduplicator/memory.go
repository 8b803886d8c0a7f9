package deduplicator

// Memory bounds what claims take, together with other users of the same memory.
type Memory interface {
	// Grow reserves bytes. It returns false if they are not available.
	Grow(bytes int64) bool
	// Shrink frees reserved bytes.
	Shrink(bytes int64)
}

// unbounded is a Memory without a bound.
type unbounded struct{}

// Grow always reserves.
func (unbounded) Grow(int64) bool { return true }

// Shrink does nothing.
func (unbounded) Shrink(int64) {}

// OrUnbounded returns the memory, or one without a bound if there is none.
func OrUnbounded(memory Memory) Memory {
	if memory == nil {
		return unbounded{}
	}
	return memory
}

// claimBytes is the memory that a claim takes beside its texts and its answer.
const claimBytes = 288

// Bytes returns the memory that the claim takes without its answer.
func (c *Claim) Bytes() int64 {
	return claimBytes + int64(len(c.Key.Service)+len(c.Key.Key)+len(c.Token))
}
