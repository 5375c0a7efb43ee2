package packet_test

import (
	"github.com/almondflow/almondflow/seedtest"

	"testing"
)

// TestMain makes generated test cases reproducible: the seed is fixed unless one is given.
func TestMain(m *testing.M) { seedtest.Main(m) }
