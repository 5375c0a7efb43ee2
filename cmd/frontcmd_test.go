package cmd

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/front"
	"github.com/almondflow/almondflow/load"
)

func TestStatusShowsPools(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	is.NoErr(writeFrontStatus(&text, &front.Status{Pools: []load.DomainPool{{
		ID: load.DomainPoolID{Service: "orders", Domain: "east"}, Targets: 40, Slots: 80,
		Work: load.Work{Busy: 31.24, Finished: 520.4, Flows: 118}, Age: 640,
	}}}))
	is.True(strings.Contains(text.String(), "east, 40 targets, 80 slots, 31.2 busy, 520.4 finished/s, 118 flows, known 640 ms ago\n"))
}
