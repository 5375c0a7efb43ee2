// Package seedtest makes property tests use the same rapid seed in every run, so that only a
// change of code changes their results.
package seedtest

import (
	"flag"
	"os"
	"testing"
)

// seedFlag is the name of rapid's flag for the seed.
const seedFlag = "rapid.seed"

// Main runs the tests of a package and exits. Call it from TestMain. It sets rapid's seed to 1
// unless the command line sets it.
func Main(m *testing.M) {
	flag.Parse()
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == seedFlag })
	if !isSet {
		if err := flag.Set(seedFlag, "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
