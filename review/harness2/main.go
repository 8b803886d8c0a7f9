// Command review-2 plays the cases of the second review. Each starts the daemons of a small
// deployment as separate processes on loopback addresses, with stand-ins for the store, the
// instances and the clients.
//
// # Usage
//
//	TROUBLE=1 target/review-2 CASE RECORD
//
// It runs in the root of the repository and exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(trouble bool, r *record) (broken bool, verdict []string, err error){
	"silent-store": silentStore,
	"hot-tenant":   hotTenant,
	"turned-away":  turnedAway,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	r := newRecord()
	broken, verdict, err := cases[os.Args[1]](os.Getenv("TROUBLE") != "0", r)
	if err != nil {
		verdict = append(verdict, "could not run: "+err.Error())
	}
	switch {
	case err != nil:
	case broken:
		verdict = append(verdict, "the rule was broken")
	default:
		verdict = append(verdict, "the rule held")
	}
	for _, line := range verdict {
		fmt.Println(line)
	}
	if failed := r.write(os.Args[2], verdict); failed != nil {
		fmt.Fprintln(os.Stderr, failed)
		err = failed
	}
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
