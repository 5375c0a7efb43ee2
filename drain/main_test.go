package drain_test

import (
	"testing"

	"github.com/almondflow/almondflow/seedtest"
)

func TestMain(m *testing.M) { seedtest.Main(m) }
