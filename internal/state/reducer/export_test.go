package reducer

// NewBounded returns a reducer with small bounds, which tests can reach.
func NewBounded(recent, audit, history int) *Reducer {
	return newBounded(bounds{recent: recent, audit: audit, history: history})
}
