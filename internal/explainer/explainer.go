// Package explainer explains the course of one request from the logs of all processes.
//
// # Usage
//
//	explanation, err := explainer.Explain("9c41d07be2a35f68", file1, file2)
//	fmt.Print(explanation)
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("explain")

// maxLineBytes is the maximum length of a line. Lines of this program are shorter.
const maxLineBytes = 1 << 20

// line is one log line of the request.
type line struct {
	at     time.Time
	node   string
	event  string
	fields map[string]any
}

// Explain returns the log lines of a request in order of time, and the outcome of the
// request with its reason. Lines may have text before the JSON object, as log collectors
// add it.
func Explain(request string, logs ...io.Reader) (string, error) {
	var lines []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			if l, found := parse(scanner.Bytes(), request); found {
				lines = append(lines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return "", Error.Wrap(err)
		}
	}
	if len(lines) == 0 {
		return "", Error.New("no log line has the request id %q; lines below the info level may have been dropped, see magnoliaknot_log_lines_dropped_total", request)
	}
	slices.SortStableFunc(lines, func(x, y line) int { return x.at.Compare(y.at) })
	var timeline strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&timeline, "%s  %s  %s: %s\n", l.at.UTC().Format("15:04:05.000"), l.node, l.event, describe(l.fields))
	}
	timeline.WriteString(conclusion(lines))
	return timeline.String(), nil
}

func parse(text []byte, request string) (line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(request)) {
		return line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text[start:], &fields); err != nil || fields["request"] != request {
		return line{}, false // A line of another program or of another request.
	}
	l := line{node: textOf(fields["node"]), event: textOf(fields["msg"]), fields: fields}
	at, err := time.Parse(time.RFC3339Nano, textOf(fields["time"]))
	if err != nil {
		return line{}, false
	}
	l.at = at
	for _, name := range []string{"time", "level", "msg", "node", "request"} {
		delete(fields, name)
	}
	return l, true
}

func textOf(value any) string {
	text, _ := value.(string)
	return text
}

// describe lists the fields sorted by name, without those that have a zero value.
func describe(fields map[string]any) string {
	var parts []string
	for name, value := range fields {
		if value == "" || value == nil || value == 0.0 || value == false {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// explanations describes each outcome and reason.
var explanations = map[string]string{
	"complete":      "the complete answer of a backend server was passed on",
	"not_run":       "refused; it has not run and never will",
	"unknown":       "no complete answer was received; it may have run",
	"overloaded":    "the wait for a slot would have been too long",
	"cold":          "backend servers were in cold start and took no more",
	"rate_limited":  "backend servers had named a rate of requests that was used up",
	"slowed":        "VMs had become slow",
	"too_slow":      "a run would not have finished in the time left",
	"draining":      "a daemon or backend server was leaving",
	"deadline":      "the caller's time or the route's timeout ended",
	"caller_gone":   "the caller closed the connection",
	"no_answer":     "the connection to the backend server broke after the request was sent",
	"no_instance":   "no instance of the service was left to try",
	"shed":          "a backend server declined it",
	"unavailable":   "a backend server could not be reached",
	"domain_out":    "its failure domain was out of service",
	"no_service":    "no route matched",
	"unknown_key":   "it had no key of a client account, or not exactly one",
	"over_quota":    "its client account had used up its quota",
	"sender_behind": "the daemon's configuration was too old",
	"quarantined":   "requests like it crashed backend servers",

	"not_configured":    "the daemon had no configuration yet",
	"connection_broken": "a connection broke",
	"incomplete_answer": "the answer broke off or was not the backend server's own",
	"bad_request":       "the request could not be read",
	"too_large":         "the body was above the limit",
	"header_too_large":  "the header was above the limit",
	"config_behind":     "the instance had an older configuration than the sender",
	"isolated":          "the daemon beside the instance had lost its peers",
	"canceled":          "the sender canceled the attempt",
}

// conclusion describes how the request ended.
func conclusion(lines []line) string {
	for _, l := range slices.Backward(lines) {
		if l.event != "request ended" {
			continue
		}
		outcome, reason := textOf(l.fields["outcome"]), textOf(l.fields["reason"])
		text := fmt.Sprintf("\nended with status %v: %s", l.fields["status"], explanations[outcome])
		if outcome == "unknown" && l.fields["streamed"] == true {
			text = fmt.Sprintf("\nended after status %v was passed on: the body broke off; the request ran", l.fields["status"])
		}
		if explained := explanations[reason]; explained != "" {
			text += "; " + explained
		}
		return text + "\n"
	}
	return "\nno log line shows how it ended: it is still running, or the daemon that accepted it crashed or was killed\n"
}
