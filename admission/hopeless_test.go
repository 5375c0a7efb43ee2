package admission_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/admission"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// A request whose answer would come after its callers have given up is refused at once, however urgent it is.
func TestRequestsThatCannotBeAnsweredInTimeAreRefused(t *testing.T) {
	is := is.New(t)
	c := newVM(admission.Level{Priority: 1, TargetLatency: 400, Timeout: 2000}, admission.Level{Priority: 2, Timeout: 4000})
	c.hear(settlingTime, poolWith("east", 2100))
	is.True(c.Refuse(c.now, 1, 0.999))
	c.hear(settlingTime, poolWith("east", 1900))
	is.True(!c.Refuse(c.now, 1, 0))
}

// Targets that hang finish next to nothing, so the response time that news shows is long while slots are free.
func TestNothingIsHopelessBesideFreeSlots(t *testing.T) {
	hanging := load.DomainPool{Targets: 20, Slots: 40, Work: load.Work{Busy: 60, Finished: 0.05}}
	tests := []struct {
		name       string
		domains    []load.DomainPool
		isHopeless bool
	}{
		{"one request whose client has vanished", []load.DomainPool{{Targets: 20, Slots: 40, Work: load.Work{Busy: 1, Finished: 0.05}}}, false},
		{"the last free slot", []load.DomainPool{{Targets: 20, Slots: 40, Work: load.Work{Busy: 39, Finished: 0.05}}}, false},
		{"no free slot", []load.DomainPool{hanging}, true},
		{"free slots in another domain", []load.DomainPool{hanging, {Targets: 20, Slots: 40}}, false},
		{"free slots by old news", []load.DomainPool{hanging, withAge(load.DomainPool{Targets: 20, Slots: 40}, clock.Minute)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newVM(orders, feeds)
			c.hear(settlingTime, tt.domains...)
			is.Equal(c.Shares()[0].Hopeless, tt.isHopeless)
			is.Equal(c.Shares()[1].Hopeless, tt.isHopeless)
		})
	}
}

// Without any opening, nothing would show that the targets have recovered.
func TestSomeHopelessOpeningsRenewTheMeasure(t *testing.T) {
	is := is.New(t)
	c := newVM(orders)
	c.hear(settlingTime, poolWith("east", 10000))
	admitted := 0
	for end := c.now + settlingTime; c.now < end; c.now += 10 {
		if !c.Refuse(c.now, orders.Priority, 0.5) {
			admitted++
		}
	}
	is.Equal(admitted, 10) // one a second
}
