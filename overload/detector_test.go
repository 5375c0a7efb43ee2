package overload_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/overload"
)

func ExampleDetector() {
	d := overload.Detector{}
	d.Update(0, 4, 120)
	fmt.Println(d.IsOverloaded()) // it may be a short burst
	d.Update(500*clock.Millisecond, 4, 120)
	fmt.Println(d.IsOverloaded())
	// Output:
	// false
	// true
}

func TestDetector(t *testing.T) {
	const many, few, high, low = 4.0, 1.0, 120.0, 20.0
	type update struct {
		at               clock.Millis
		waiting, latency float64
	}
	tests := []struct {
		name    string
		updates []update
		want    bool
	}{
		{"nothing is known", nil, false},
		{"a burst", []update{{0, many, high}, {499, many, high}}, false},
		{"long enough", []update{{0, many, high}, {500, many, high}}, true},
		{"many requests, answered soon", []update{{0, many, low}, {500, many, low}}, false},
		{"few requests, answered late", []update{{0, few, high}, {500, few, high}}, false},
		{"an end in between", []update{{0, many, high}, {400, few, high}, {500, many, high}}, false},
		{"half of the limits are not reached", []update{{0, many, high}, {500, many, high}, {600, 2, 60}}, true},
		{"few requests in the end", []update{{0, many, high}, {500, many, high}, {600, few, high}}, false},
		{"soon answers in the end", []update{{0, many, high}, {500, many, high}, {600, many, low}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := overload.Detector{}
			for _, u := range tt.updates {
				d.Update(u.at, u.waiting, u.latency)
			}
			is.Equal(d.IsOverloaded(), tt.want)
		})
	}
}
