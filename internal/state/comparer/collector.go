package comparer

// Collector counts the ended runs of one backend server by route, for reports.
type Collector struct{}

// NewCollector returns a Collector without runs.
func NewCollector() *Collector { return &Collector{} }

// Record counts an ended run.
func (c *Collector) Record(route string, r Run) {}

// Routes returns the counts of the most used routes, and of the others as OtherRoutes.
func (c *Collector) Routes() []RouteCounts { return nil }
