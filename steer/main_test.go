package steer_test

import (
	"github.com/almondflow/almondflow/seedtest"

	"testing"
)

// TestMain fixes the seed of rapid where none is given.
func TestMain(m *testing.M) { seedtest.Main(m) }
