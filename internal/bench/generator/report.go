package generator

import (
	"syscall"
	"time"
)

// Report is the result of a run. Times are in microseconds unless the name says
// otherwise.
type Report struct {
	Run            string      `json:"run"`
	DurationMs     int64       `json:"duration_ms"`
	Sent           int         `json:"sent"`
	SentRate       float64     `json:"sent_per_second"`
	WrongAnswers   int         `json:"wrong_answers"`
	PartialAnswers int         `json:"partial_answers"`
	Groups         []Group     `json:"groups"`
	Lateness       Percentiles `json:"lateness"` // of the first send, against the intended time
	CPU            CPUUsage    `json:"processor"`
	Audit          *Audit      `json:"audit,omitempty"`
	Windows        []Window    `json:"windows"`
}

// CPUUsage is the processor time used by the load tool itself.
type CPUUsage struct {
	TotalMs          int64   `json:"total_ms"`
	MicrosPerRequest float64 `json:"us_per_request"`
	ShareOfCore      float64 `json:"share_of_core"`
}

// Violations returns the number of violated guarantees.
func (r Report) Violations() int {
	count := r.WrongAnswers + r.PartialAnswers
	if r.Audit != nil {
		count += r.Audit.Violations()
	}
	return count
}

func (r *run) summarize(sendTime, processor time.Duration) Report {
	report := Report{
		Run:        r.idPrefix,
		DurationMs: sendTime.Milliseconds(),
		Groups:     r.recorder.list(),
		Lateness:   percentiles(r.recorder.lateness),
		Windows:    r.recorder.windows.list(),
	}
	for _, group := range report.Groups {
		report.Sent += group.Sent
		report.WrongAnswers += group.Outcomes[Wrong]
		report.PartialAnswers += group.Outcomes[Partial]
	}
	report.SentRate = float64(report.Sent) / sendTime.Seconds()
	report.CPU = CPUUsage{
		TotalMs:          processor.Milliseconds(),
		MicrosPerRequest: float64(processor.Microseconds()) / float64(max(report.Sent, 1)),
		ShareOfCore:      processor.Seconds() / time.Since(r.start).Seconds(),
	}
	return report
}

// processorTime returns the user and system time of the process so far, or zero
// if the system does not report it.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
