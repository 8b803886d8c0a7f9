package reducer

// NewWithBounds returns a reducer with small bounds, which tests can reach.
func NewWithBounds(recent, audit, history int) *Reducer {
	return newWithBounds(bounds{recent: recent, audit: audit, history: history})
}
