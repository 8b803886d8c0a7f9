package reducer

// NewWithBounds returns a reducer with bounds that are small enough for tests
// to reach.
func NewWithBounds(recent, audit, history int) *Reducer {
	return newWithBounds(bounds{recent: recent, audit: audit, history: history})
}
