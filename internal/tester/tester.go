// Package tester runs test suites and properties with fixed seeds, so that
// every run of the same code gives the same result.
//
// # Usage
//
//	func TestSelector(t *testing.T) { tester.RunSpecs(t, "selector") }
//
//	func TestSelectorProperties(t *testing.T) {
//		tester.Check(t, func(t *rapid.T) { ... })
//	}
//
// To search with other seeds or longer, pass -rapid.seed or -rapid.checks to go
// test.
package tester

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const seed = 20261204

// KnownRedEnv is the environment variable that lists the specs to skip, one per line.
// CI sets it to the specs of KNOWN-RED.txt.
const KnownRedEnv = "KNOWN_RED_SPECS"

// RunSpecs runs the ginkgo specs of a package in a fixed order.
func RunSpecs(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, report := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
	if known := os.Getenv(KnownRedEnv); known != "" {
		suite.SkipStrings = append(suite.SkipStrings, strings.Split(known, "\n")...)
	}
	ginkgo.RunSpecs(t, name, suite, report)
}

// Check runs a property with a fixed seed unless -rapid.seed is given.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	if current := flag.Lookup("rapid.seed"); current != nil && current.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, property)
}

const checksFlag = "rapid.checks"

// checksGiven reports whether go test was called with -rapid.checks. It must be
// called before CheckN sets the flag, after which the answer would always be true.
var checksGiven = sync.OnceValue(func() bool {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == checksFlag })
	return given
})

// CheckN is Check with another number of checks unless -rapid.checks is given.
// It must not run in parallel with other properties, since they share the flag.
func CheckN(t *testing.T, checks int, property func(*rapid.T)) {
	t.Helper()
	current := flag.Lookup(checksFlag)
	if checksGiven() || current == nil {
		Check(t, property)
		return
	}
	before := current.Value.String()
	defer func() { _ = flag.Set(checksFlag, before) }()
	if err := flag.Set(checksFlag, strconv.Itoa(checks)); err != nil {
		t.Fatal(err)
	}
	Check(t, property)
}
