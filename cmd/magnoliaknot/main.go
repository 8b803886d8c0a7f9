// Command magnoliaknot is the daemon that runs beside each backend server, and
// the operators' command line.
//
// # Usage
//
//	magnoliaknot daemon --settings FILE
//	magnoliaknot sheet check FILE
//	magnoliaknot --help
package main

import (
	"os"

	"github.com/magnoliaknot/magnoliaknot/internal/commander"
)

func main() { os.Exit(commander.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
