// Command reviewstandin runs the cases of the review that are scripts.
//
// It starts the project's daemons as separate processes on loopback addresses. The
// platform's store, the instances and the clients are stand-ins in this process; they
// follow the users' pages and use no code of the project.
//
// # Usage
//
//	reviewstandin -case NAME -trouble 1 -record FILE -daemon PATH
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// environment is what a case gets.
type environment struct {
	// trouble is false if the case runs without its disruption.
	trouble bool
	daemon  string
	record  *record
}

var cases = map[string]func(environment) error{
	"leave":   runLeave,
	"foreign": runForeign,
	"tenant":  runTenant,
	"hang":    runHang,
	"poison":  runPoison,
	"cold":    runCold,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Int("trouble", 1, "0 runs the case without its disruption")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	daemon := flag.String("daemon", "target/magnoliaknot", "program of the daemon")
	flag.Parse()
	play, found := cases[*name]
	if !found {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	err = play(environment{trouble: *trouble != 0, daemon: *daemon, record: r})
	switch {
	case err == nil:
		r.printf("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.printf("result: %v", err)
		return exitBroken
	}
	r.printf("result: the case could not run: %v", err)
	return exitNotRun
}
