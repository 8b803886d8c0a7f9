package generator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// worstWindows is the number of windows in the table; the JSON report has all.
const worstWindows = 5

// WriteTable writes the report as a text table.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	out := &errorWriter{w: table}
	out.printf("sent %d in %d ms (%.0f/s), wrong %d, partial %d\n", r.Sent, r.DurationMs, r.SentRate, r.WrongAnswers, r.PartialAnswers)
	out.printf("\nvia\tkind\tsent\ttimely\tnot_run\tunknown\tfailed\tunsent\tresends\tp50 us\tp90 us\tp99 us\tp99.9 us\tmax us\t\n")
	for _, g := range r.Groups {
		out.printf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", g.Via, g.Kind, g.Sent, g.CompleteTimely,
			g.Outcomes[NotRun], g.Outcomes[Unknown], g.Outcomes[Failed], g.Outcomes[Unsent], g.Resends)
		out.percentiles(g.Latency)
		out.printf("\t(from actual send)\t\t\t\t\t\t\t\t")
		out.percentiles(g.SendLatency)
	}
	out.printf("(lateness)\t\t\t\t\t\t\t\t\t")
	out.percentiles(r.Lateness)
	for _, g := range r.Groups {
		for _, reason := range slices.Sorted(maps.Keys(g.Reasons)) {
			out.printf("reason %s/%s %s: %d\n", g.Via, g.Kind, reason, g.Reasons[reason])
		}
	}
	out.printf("processor %d ms, %.1f us per request, %.2f of a core\n", r.CPU.TotalMs, r.CPU.MicrosPerRequest, r.CPU.ShareOfCore)
	out.windows(r.Windows)
	if r.Audit != nil {
		out.audit(*r.Audit)
	}
	if out.err != nil {
		return Error.Wrap(out.err)
	}
	return Error.Wrap(table.Flush())
}

// errorWriter keeps the first write error and writes nothing after it.
type errorWriter struct {
	w   io.Writer
	err error
}

func (e *errorWriter) printf(format string, args ...any) {
	if e.err == nil {
		_, e.err = fmt.Fprintf(e.w, format, args...)
	}
}

func (e *errorWriter) percentiles(p Percentiles) {
	e.printf("%d\t%d\t%d\t%d\t%d\t\n", p.P50, p.P90, p.P99, p.P999, p.Max)
}

func (e *errorWriter) windows(windows []Window) {
	worst := slices.Clone(windows)
	slices.SortStableFunc(worst, func(a, b Window) int {
		switch {
		case a.TimelyShare < b.TimelyShare:
			return -1
		case a.TimelyShare > b.TimelyShare:
			return 1
		}
		return 0
	})
	e.printf("\nworst windows\tvia\tsent\tshare\trefusals\tunknown\tp99 us\tgoodput/s\t\n")
	for _, w := range worst[:min(len(worst), worstWindows)] {
		e.printf("%d ms\t%s\t%d\t%.3f\t%d\t%d\t%d\t%.0f\t\n", w.StartMs, w.Via, w.Sent, w.TimelyShare, w.Refusals, w.Unknown, w.P99, w.Goodput)
	}
}

func (e *errorWriter) audit(a Audit) {
	e.printf("\naudit: repeated requests %d, repeated keys %d, told not_run but ran %d (of %d checked, %d unchecked)\n",
		len(a.RepeatedRequests), len(a.RepeatedKeys), len(a.RefusedRan), a.RefusalsChecked, a.RefusalsUnchecked)
	e.printf("instance\truns\tin flight\twhile cold\tover cold capacity\tshed\tcrashes\t\n")
	for _, b := range a.Backends {
		e.printf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", b.Instance, b.TotalRuns, b.InFlight, b.ColdInFlight, b.ColdExceeded, b.Shed, b.Crashes)
	}
}
