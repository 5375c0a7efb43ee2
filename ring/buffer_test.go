package ring_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/ring"
)

func ExampleBuffer() {
	var b ring.Buffer[string]
	for _, line := range []string{"first", "second", "third"} {
		b.Add(line, 2)
	}
	fmt.Println(b.All())
	// Output: [second third]
}

func TestBuffer(t *testing.T) {
	tests := []struct {
		name        string
		size, added int
		want        []int
	}{
		{"empty", 3, 0, []int{}},
		{"some", 3, 2, []int{0, 1}},
		{"full", 3, 3, []int{0, 1, 2}},
		{"one replaced", 3, 4, []int{1, 2, 3}},
		{"all replaced", 3, 6, []int{3, 4, 5}},
		{"a single item", 1, 5, []int{4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var b ring.Buffer[int]
			for i := range tt.added {
				b.Add(i, tt.size)
			}
			is.Equal(b.All(), tt.want)
		})
	}
}
