// Package loader reads and validates the settings of a daemon.
//
// Settings are a JSON file. All findings are reported together, each with its
// place.
//
// # Usage
//
//	settings, err := loader.Load("daemon.json")
//	if err != nil {
//		return err // lists every finding
//	}
package loader

import (
	"os"

	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/decoder"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Error is the class of errors of this package.
var Error = errs.Class("settings")

// Load reads the settings in a file, fills in defaults and validates them.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return Decode(data)
}

// Decode decodes settings from JSON, fills in defaults and validates them.
func Decode(data []byte) (*Settings, error) {
	settings := defaults()
	var findings reporter.Findings
	decoder.Decode(data, settings, &findings, decoder.Options{Root: "settings"}, settings.check)
	if err := findings.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return settings, nil
}
