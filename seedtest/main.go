// Package seedtest makes property tests use the same rapid seed in every run, so that only a
// change of code changes their results.
package seedtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Names of rapid's flags for the seed and the number of checks of each property.
const (
	seedFlag   = "rapid.seed"
	checksFlag = "rapid.checks"
)

// Main runs the tests of a package and exits. Call it from TestMain. It sets rapid's seed to 1
// unless the command line sets it.
func Main(m *testing.M) {
	flag.Parse()
	setDefault(seedFlag, "1")
	os.Exit(m.Run())
}

// MainWithChecks does the same as Main, with the given number of checks of each property unless the
// command line sets another.
func MainWithChecks(m *testing.M, checks int) {
	flag.Parse()
	setDefault(checksFlag, strconv.Itoa(checks))
	setDefault(seedFlag, "1")
	os.Exit(m.Run())
}

// setDefault sets a flag that the command line does not set. It panics if there is no such flag.
func setDefault(name, value string) {
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
	if isSet {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
