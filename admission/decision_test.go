package admission_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/admission"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// Load: one failure domain presses, so that this VM's own requests take long. The less urgent openings go to
// another domain that has room, and are refused only if none has.
func TestRefusedShareGoesToAnotherDomainWithRoom(t *testing.T) {
	full := poolWith("west", 1000)
	half := load.DomainPool{Targets: 20, Slots: 40, Work: load.Work{Busy: 16, Finished: 256}}
	last := load.DomainPool{Targets: 20, Slots: 40, Work: load.Work{Busy: 39, Finished: 600}}
	waiting := load.DomainPool{Targets: 20, Slots: 40, Work: load.Work{Busy: 55, Finished: 640}}
	// Targets that reject what they have no room for answer soon.
	rejecting := load.DomainPool{Targets: 20, Slots: 40, Work: load.Work{Busy: 160, Finished: 4000}}
	tests := []struct {
		name     string
		others   []load.DomainPool
		priority int
		expected admission.Decision
	}{
		{"no other domain", nil, feeds.Priority, admission.Refused},
		{"another domain is full", []load.DomainPool{full}, feeds.Priority, admission.Refused},
		{"another domain has room", []load.DomainPool{half}, feeds.Priority, admission.Spilled},
		{"another domain has a free slot", []load.DomainPool{last}, feeds.Priority, admission.Spilled},
		{"few requests wait in another domain", []load.DomainPool{waiting}, feeds.Priority, admission.Spilled},
		{"one of two has room", []load.DomainPool{full, half}, feeds.Priority, admission.Spilled},
		{"news of the other domain is old", []load.DomainPool{withAge(half, clock.Minute)}, feeds.Priority, admission.Refused},
		{"another domain rejects most", []load.DomainPool{rejecting}, feeds.Priority, admission.Refused},
		{"nothing finishes in the other domain", []load.DomainPool{{Targets: 20, Slots: 40}}, feeds.Priority, admission.Refused},
		{"urgent openings stay", []load.DomainPool{half}, orders.Priority, admission.Admitted},
		{"no such priority", []load.DomainPool{full}, 9, admission.Admitted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newVM(orders, feeds)
			domains := append([]load.DomainPool{poolWith("east", 1000)}, tt.others...)
			for end := c.now + settlingTime; c.now < end; c.now += admission.UpdateInterval {
				c.Notice(c.now, orders.Priority)
				c.Notice(c.now, feeds.Priority)
				for range 100 { // own answers outweigh the news
					c.Observe(1000)
				}
				c.Update(c.now, domains)
			}
			is.Equal(c.Decide(c.now, tt.priority, 0.5, tt.others), tt.expected)
		})
	}
}

// Load: one kind presses. What is not refused leaves the domain only where that gains something.
func TestOpeningsStayWhileOtherDomainsAreFull(t *testing.T) {
	full := poolWith("west", 1000)
	half := load.DomainPool{Targets: 20, Slots: 40, Work: load.Work{Busy: 16, Finished: 256}}
	tests := []struct {
		name     string
		others   []load.DomainPool
		answer   clock.Millis // of the other domains, or zero
		priority int
		expected admission.Decision
	}{
		{"another domain is full", []load.DomainPool{full}, 60, feeds.Priority, admission.Kept},
		{"news of room that answers belie", []load.DomainPool{half}, 1000, feeds.Priority, admission.Kept},
		{"another domain has room", []load.DomainPool{half}, 60, feeds.Priority, admission.Admitted},
		{"nothing is known of other domains", []load.DomainPool{withAge(full, clock.Minute)}, 60, feeds.Priority, admission.Admitted},
		{"nothing is known, and none answers", []load.DomainPool{withAge(full, clock.Minute)}, 0, feeds.Priority, admission.Kept},
		{"urgent openings, by the news", []load.DomainPool{full}, 60, orders.Priority, admission.Admitted},
		{"urgent openings, by answers", []load.DomainPool{full}, 1000, orders.Priority, admission.Kept},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newVM(orders, feeds)
			c.hear(admission.UpdateInterval, half)
			present := presentWith(300)
			present.Elsewhere = 1
			c.SetPresent(present)
			c.hear(admission.UpdateInterval, poolWith("east", 70))
			if tt.answer > 0 {
				answerElsewhere(c, tt.answer)
			}
			is.Equal(c.Decide(c.now, tt.priority, 1, tt.others), tt.expected)
		})
	}
}

// Without thresholds from the tables, or with one priority, the policy alone decides where openings go.
func TestPoolsThatDoNotAskForItKeepNothing(t *testing.T) {
	tests := []struct {
		name   string
		levels []admission.Level
	}{
		{"one priority", []admission.Level{orders, orders}},
		{"no target latency", []admission.Level{{Priority: 1}, {Priority: 2}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newVM(tt.levels...)
			full := poolWith("west", 1000)
			c.SetPresent(presentWith(300))
			c.hear(settlingTime, poolWith("east", 1000), full)
			is.Equal(c.Room().ResponseTime, 1000.0) // by the news, as before
			answerElsewhere(c, 1000)
			c.ObserveShedElsewhere(c.now)
			is.Equal(c.Decide(c.now, orders.Priority, 0, []load.DomainPool{full}), admission.Admitted)
		})
	}
}
