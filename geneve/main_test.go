package geneve_test

import (
	"github.com/almondflow/almondflow/seedtest"

	"testing"
)

// TestMain sets a fixed seed for rapid unless one is given.
func TestMain(m *testing.M) { seedtest.Main(m) }
