// Package seedtest gives tests of random histories the same seed in every run, so that a
// change of verdict is a change of code.
package seedtest

import (
	"flag"
	"os"
	"testing"
)

// seedFlag is the flag by which rapid takes its seed.
const seedFlag = "rapid.seed"

// Main runs the tests of a package from its TestMain. It sets rapid's seed to 1 where the
// command line names none, and does not return.
func Main(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == seedFlag })
	if !given {
		if err := flag.Set(seedFlag, "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
