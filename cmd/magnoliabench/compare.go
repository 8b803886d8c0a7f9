package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/generator"
)

// compareError is the class of errors of the compare command.
var compareError = errs.Class("compare")

// series holds the reports of one configuration, one for each round.
type series struct {
	name    string
	reports []generator.Report
}

func newCompareCommand() *cobra.Command {
	var spanMs int64
	command := &cobra.Command{
		Use:   "compare NAME=FILE[,FILE...]...",
		Short: "Print a Markdown table of JSON reports, with ranges over the files of a name",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			for i, argument := range arguments {
				s, err := readSeries(argument)
				if err != nil {
					return err
				}
				out := command.OutOrStdout()
				if spanMs > 0 {
					writeSpans(out, s, spanMs, i == 0)
				} else {
					writeGroups(out, s, i == 0)
				}
			}
			return nil
		},
	}
	command.Flags().Int64Var(&spanMs, "span-ms", 0, "aggregate windows over spans of this length instead of requests by kind")
	return command
}

func readSeries(argument string) (series, error) {
	name, files, found := strings.Cut(argument, "=")
	if !found {
		return series{}, compareError.New("%q is not of the form NAME=FILE[,FILE...]", argument)
	}
	s := series{name: name}
	for _, file := range strings.Split(files, ",") {
		text, err := os.ReadFile(file)
		if err != nil {
			return s, compareError.Wrap(err)
		}
		var report generator.Report
		if err := json.Unmarshal(text, &report); err != nil {
			return s, compareError.New("%s: %v", file, err)
		}
		s.reports = append(s.reports, report)
	}
	return s, nil
}

// bounds is the range of a value over rounds.
type bounds struct {
	low, high float64
	set       bool
}

func (b *bounds) add(value float64) {
	if !b.set {
		*b = bounds{value, value, true}
	}
	b.low, b.high = min(b.low, value), max(b.high, value)
}

// text formats the range, or one value if both bounds are formatted alike.
func (b bounds) text(format string) string {
	low, high := fmt.Sprintf(format, b.low), fmt.Sprintf(format, b.high)
	if low == high {
		return low
	}
	return low + " to " + high
}

// row is one line of a table of groups. Times are in milliseconds.
type row struct {
	label                                    string
	sent, untimely, refused, unknownOrFailed int
	p50, p90, p99, p999                      bounds
	sentP50, sentP90, sentP99                bounds
}

func (r *row) add(latency, answered generator.Percentiles) {
	r.p50.add(millis(latency.P50))
	r.p90.add(millis(latency.P90))
	r.p99.add(millis(latency.P99))
	r.p999.add(millis(latency.P999))
	r.sentP50.add(millis(answered.P50))
	r.sentP90.add(millis(answered.P90))
	r.sentP99.add(millis(answered.P99))
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// writeGroups prints a row for each path (proxied or direct) and kind of request.
// For a kind that was also sent directly, a further row gives the difference
// between the percentiles of proxied and direct requests.
func writeGroups(w io.Writer, s series, withHeader bool) {
	if withHeader {
		fmt.Fprintln(w, "| run | requests | sent | not timely | not_run | unknown, failed or unsent | p50 | p90 | p99 | p99.9 | p50 from send | p90 from send | p99 from send |")
		fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	}
	var rows []*row
	byLabel := map[string]*row{}
	find := func(label string) *row {
		if byLabel[label] == nil {
			byLabel[label] = &row{label: label}
			rows = append(rows, byLabel[label])
		}
		return byLabel[label]
	}
	for _, report := range s.reports {
		direct := map[string]generator.Group{}
		for _, g := range report.Groups {
			if g.Via == generator.Direct {
				direct[g.Kind] = g
			}
			r := find(fmt.Sprintf("%s, %s", g.Via, g.Kind))
			r.sent += g.Sent
			r.untimely += g.Sent - g.CompleteTimely
			r.refused += g.Outcomes[generator.NotRun]
			r.unknownOrFailed += g.Outcomes[generator.Unknown] + g.Outcomes[generator.Failed] + g.Outcomes[generator.Unsent]
			r.add(g.Latency, g.SendLatency)
		}
		for _, g := range report.Groups {
			if d, found := direct[g.Kind]; found && g.Via != generator.Direct {
				find("added, "+g.Kind).add(difference(g.Latency, d.Latency), difference(g.SendLatency, d.SendLatency))
			}
		}
	}
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %s | %d | %d | %d | %d | %s | %s | %s | %s | %s | %s | %s |\n", s.name, r.label, r.sent, r.untimely, r.refused, r.unknownOrFailed,
			r.p50.text("%.2f"), r.p90.text("%.2f"), r.p99.text("%.2f"), r.p999.text("%.2f"),
			r.sentP50.text("%.2f"), r.sentP90.text("%.2f"), r.sentP99.text("%.2f"))
	}
}

func difference(a, b generator.Percentiles) generator.Percentiles {
	return generator.Percentiles{P50: a.P50 - b.P50, P90: a.P90 - b.P90, P99: a.P99 - b.P99, P999: a.P999 - b.P999}
}

// span aggregates the windows of one time interval of a report.
type span struct {
	sent, timely, refusals, unknown, windowsBelowOne int
	worst                                            generator.Window
	p99                                              int64
}

// writeSpans prints a row for each interval of spanMs.
func writeSpans(w io.Writer, s series, spanMs int64, withHeader bool) {
	if withHeader {
		fmt.Fprintln(w, "| run | from | sent/s | goodput/s | share | refusals | unknown | windows below 1 | worst window's share | worst window's p99 |")
		fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	}
	last := int64(0)
	byRound := make([]map[int64]*span, len(s.reports))
	for i, report := range s.reports {
		byRound[i] = map[int64]*span{}
		for _, window := range report.Windows {
			index := window.StartMs / spanMs
			last = max(last, index)
			if byRound[i][index] == nil {
				byRound[i][index] = &span{worst: window}
			}
			byRound[i][index].add(window)
		}
	}
	for index := range last + 1 {
		var sent, goodput, share, refusals, unknown, below, worst, p99 bounds
		for _, round := range byRound {
			sum := round[index]
			if sum == nil {
				continue
			}
			seconds := float64(spanMs) / 1000
			sent.add(float64(sum.sent) / seconds)
			goodput.add(float64(sum.timely) / seconds)
			share.add(float64(sum.timely) / float64(max(sum.sent, 1)))
			refusals.add(float64(sum.refusals))
			unknown.add(float64(sum.unknown))
			below.add(float64(sum.windowsBelowOne))
			worst.add(sum.worst.TimelyShare)
			p99.add(millis(sum.p99))
		}
		fmt.Fprintf(w, "| %s | %.1f s | %s | %s | %s | %s | %s | %s | %s | %s |\n", s.name, float64(index*spanMs)/1000,
			sent.text("%.0f"), goodput.text("%.0f"), share.text("%.4f"), refusals.text("%.0f"), unknown.text("%.0f"),
			below.text("%.0f"), worst.text("%.3f"), p99.text("%.1f"))
	}
}

func (s *span) add(w generator.Window) {
	s.sent += w.Sent
	s.timely += w.CompleteTimely
	s.refusals += w.Refusals
	s.unknown += w.Unknown
	s.p99 = max(s.p99, w.P99)
	if w.CompleteTimely < w.Sent {
		s.windowsBelowOne++
	}
	if w.TimelyShare < s.worst.TimelyShare {
		s.worst = w
	}
}
