package packet_test

import (
	"github.com/almondflow/almondflow/seedtest"

	"testing"
)

// TestMain makes the generated cases the same in every run unless a seed is given.
func TestMain(m *testing.M) { seedtest.Main(m) }
