// Command magnoliasoak runs the daemons with stand-ins for the platform and
// injects faults.
//
// # Usage
//
//	magnoliasoak run --daemon target/magnoliaknot --seed 1 --seeds 50 --out DIR
package main

import (
	"fmt"
	"os"

	"github.com/magnoliaknot/magnoliaknot/platform/standin/soaker"
)

func main() {
	if err := soaker.NewCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
