package cmd

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/admission"
	"github.com/almondflow/almondflow/front"
	"github.com/almondflow/almondflow/inband"
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

// The pools of a service for all routes and for those that are bound to some regions have lines of their own.
func TestStatusTellsRefusalsApartByRegion(t *testing.T) {
	is := is.New(t)
	shares := []admission.Share{{Priority: 2, Refused: 0.25}}
	var text strings.Builder
	is.NoErr(writeFrontStatus(&text, &front.Status{Admissions: []inband.AdmissionStatus{
		{Service: "orders", Shares: shares},
		{Service: "orders", AllowedRegions: []string{"east", "west"}, Shares: shares},
	}}))
	is.True(strings.Contains(text.String(), "refused orders priority 2  0.25 of requests"))
	is.True(strings.Contains(text.String(), "refused orders priority 2  bound to east, west, 0.25 of requests"))
}
