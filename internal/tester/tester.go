// Package tester runs test suites and properties with fixed seeds, so that
// every run of the same code gives the same verdict.
//
// # Usage
//
//	func TestSelector(t *testing.T) { tester.RunSpecs(t, "selector") }
//
//	func TestSelectorProperties(t *testing.T) {
//		tester.Check(t, func(t *rapid.T) { ... })
//	}
//
// To search with other seeds, pass -rapid.seed to go test.
package tester

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const seed = 20261204

// RunSpecs runs the ginkgo specs of a package in a fixed order.
func RunSpecs(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, report := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = seed
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
