// Command harness3 runs the cases of a review: daemons of the project as separate
// processes on loopback addresses, with stand-ins of the store, of backend servers and of
// callers.
//
// # Usage
//
//	harness3 case NAME --daemon target/magnoliaknot --record review/11/record.txt
//
// The exit status is 1 if the rule of the case was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 the case runs without its disruption.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	minimumArgs = 2
)

// scenario plays a case on a fleet that serves requests. It returns what breaks the rule;
// an empty text means that the rule held.
type scenario struct {
	// services are those of the VMs, one VM for each entry.
	services []string
	// slots is the number of requests that a backend server runs at a time.
	slots int
	play  func(f *fleet, trouble bool) (string, error)
}

var scenarios = map[string]scenario{
	"crash-in-answer": {services: []string{"orders", "orders", "orders", "orders"}, slots: 6, play: playCrashInAnswer},
	"neighbour-stops": {services: []string{"orders", "orders", "desk", "desk"}, slots: 18, play: playNeighbourStops},
}

func main() {
	if len(os.Args) < minimumArgs {
		fmt.Fprintln(os.Stderr, "usage: harness3 case|backend ...")
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "backend":
		if err := serveBackend(os.Args[minimumArgs:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
	case "case":
		os.Exit(runCase(os.Args[minimumArgs:]))
	default:
		fmt.Fprintln(os.Stderr, "unknown command:", os.Args[1])
		os.Exit(exitNotRun)
	}
}

func runCase(args []string) int {
	if len(args) == 0 {
		fmt.Fprintln(os.Stderr, "no case is named")
		return exitNotRun
	}
	flags := flag.NewFlagSet("case", flag.ContinueOnError)
	daemon := flags.String("daemon", "target/magnoliaknot", "path of the daemon's executable")
	path := flags.String("record", "record.txt", "file for what was sent, answered and run")
	if flags.Parse(args[1:]) != nil {
		return exitNotRun
	}
	finding, err := play(args[0], *daemon, *path)
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case finding != "":
		fmt.Println("broken:", finding)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

func play(name, daemon, path string) (finding string, err error) {
	s, found := scenarios[name]
	if !found {
		return "", fmt.Errorf("unknown case %q", name)
	}
	r, err := newRecord(path)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, r.close()) }()
	f, err := startFleet(daemon, s, r)
	if err != nil {
		return "", err
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, trouble %v", name, trouble)
	finding, err = s.play(f, trouble)
	if err == nil {
		r.note("finding: %q", finding)
	}
	return finding, err
}
