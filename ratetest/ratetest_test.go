package ratetest_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/ratetest"
)

func TestMostSentAndArrivedInOneSecond(t *testing.T) {
	tests := []struct {
		name   string
		events []ratetest.Event
		want   int
	}{
		{"none", nil, 0},
		{"the last millisecond of a second", []ratetest.Event{{0, 0}, {999, 999}}, 2},
		{"a second apart", []ratetest.Event{{0, 0}, {1000, 1000}}, 1},
		{"one that takes a second", []ratetest.Event{{0, 1000}, {0, 999}}, 1},
		{"the middle ones, in any order", []ratetest.Event{{1900, 1900}, {0, 0}, {1000, 1100}, {1200, 1999}}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ratetest.MostSentAndArrivedInOneSecond(tt.events), tt.want)
		})
	}
}

func TestMostInOneSecond(t *testing.T) {
	is := is.New(t)
	is.Equal(ratetest.MostInOneSecond([]clock.Millis{0, 500, 1000, 1499, 1500}), 3)
}
