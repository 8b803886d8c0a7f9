package comparer

// Counts are ended runs of one version.
type Counts struct {
	Runs uint64
	// Bad counts the failed and the slow runs.
	Bad uint64
}

// Verdict is the result of a comparison of the target with the other versions.
type Verdict struct {
	// Bad says that the target is worse, Good that it is not as far as the step shows.
	Bad  bool
	Good bool
	// Ratio is the highest log likelihood ratio of all routes and windows. Above zero the
	// runs are more likely those of a bad version.
	Ratio float64
	// Route and Window name the runs of Ratio. AllRoutes means all routes together.
	Route  string
	Window Window
	// Target and Baseline are the counts of Ratio, without excluded instances.
	Target   Counts
	Baseline Counts
	// StepRatio is the log likelihood ratio of all routes together since BeginStep, and
	// StepRuns the number of runs of the target in that time.
	StepRatio float64
	StepRuns  uint64
}

// AllRoutes is the route of a Verdict that all routes decided together.
const AllRoutes = ""
