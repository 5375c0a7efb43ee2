package geneve_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes the generated cases the same in every run unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	isGiven := false
	flag.Visit(func(f *flag.Flag) { isGiven = isGiven || f.Name == "rapid.seed" })
	if !isGiven {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
