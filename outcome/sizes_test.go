package outcome

import (
	"testing"

	"github.com/matryer/is"
)

func TestShortResponses(t *testing.T) {
	tests := []struct {
		name  string
		usual []uint32 // usual sizes, repeated
		size  uint32
		want  bool
	}{
		{"usual size", []uint32{820, 830, 840}, 800, false},
		{"error", []uint32{820, 830, 840}, 150, true},
		{"half the usual size", []uint32{820, 830, 840}, 420, false},
		{"varying sizes", []uint32{200, 900, 2400}, 200, false},
		{"short is usual", []uint32{150}, 150, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &Sizes{}
			for i := range 60 {
				is.True(!s.Observe(tt.usual[i%len(tt.usual)]))
			}
			is.Equal(s.Observe(tt.size), tt.want)
		})
	}
}

// Errors must stay recognizable while they make up a fifth of the responses.
func TestFrequentErrorsStayShort(t *testing.T) {
	is := is.New(t)
	s := &Sizes{}
	for range 60 {
		s.Observe(830)
	}
	for i := range 500 {
		if i%5 == 0 {
			is.True(s.Observe(150))
		} else {
			is.True(!s.Observe(830))
		}
	}
}

// Responses that become short permanently are accepted as normal after some time.
func TestResponseSizesAdapt(t *testing.T) {
	is := is.New(t)
	s := &Sizes{}
	for range 60 {
		s.Observe(830)
	}
	for range 1000 {
		s.Observe(150)
	}
	is.True(!s.Observe(150))
}

// The first responses on a route are not evaluated.
func TestFirstResponsesAreNotEvaluated(t *testing.T) {
	is := is.New(t)
	s := &Sizes{}
	for range minSizeSamples - 1 {
		s.Observe(830)
	}
	is.True(!s.Observe(150))
}
