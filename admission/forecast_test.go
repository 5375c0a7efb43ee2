package admission_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/admission"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// presentWith returns that a number of requests is under way now at the targets of poolWith.
func presentWith(busy float64) admission.Present {
	return admission.Present{Busy: busy, Slots: 40, ServiceTime: 62.5}
}

// Load: one kind presses. Requests queue before the first of them is answered and before the news tells of them, and are
// gone before the news tells of that.
func TestRequestsUnderWayShowTheLoadAtOnce(t *testing.T) {
	tests := []struct {
		name      string
		news      float64 // response time, in milliseconds
		busy      float64
		isRefused bool
	}{
		{"the load begins", 70, 160, true},
		{"the load has ended", 400, 10, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newVM(orders, feeds)
			c.SetPresent(presentWith(tt.busy))
			refused := c.hear(admission.UpdateInterval, poolWith("east", tt.news))
			is.Equal(refused[1] > 0, tt.isRefused)
			is.Equal(refused[0], 0.0) // orders
		})
	}
}

// Load: a crowd comes back. While no request has finished since the start, a request is taken to last for a third of the
// target latency, and the news says nothing of idle targets.
func TestLoadIsSeenBeforeAnyAnswer(t *testing.T) {
	is := is.New(t)
	c := newVM(orders, feeds)
	c.SetPresent(admission.Present{Busy: 79, Slots: 40})
	refused := c.hear(admission.UpdateInterval, load.DomainPool{Targets: 20, Slots: 40})
	is.True(refused[1] > 0.5)
	is.Equal(refused[0], 0.0) // orders
}

// Load: targets unequal. Where targets work slower than the count tells, or VMs of other domains send them requests,
// answers take longer than foreseen.
func TestAnswersCorrectTheForecast(t *testing.T) {
	tests := []struct {
		name     string
		answer   clock.Millis
		expected float64
	}{
		{"as foreseen", 125, 125},
		{"twice as long", 250, 250},
		{"half as long", 63, 63},
		{"far beyond the bound", 2000, 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newVM(orders, feeds)
			for range 100 {
				for range 4 {
					c.Observe(tt.answer)
				}
				c.SetPresent(presentWith(79))
				c.hear(admission.UpdateInterval)
			}
			difference := c.Room().ResponseTime - tt.expected
			is.True(difference < 1)
			is.True(difference > -1)
		})
	}
}

// Load: one kind presses. All domains fill up at once, and the news of the others is from before.
func TestLateAnswersFromOtherDomainsOutweighTheirNews(t *testing.T) {
	tests := []struct {
		name     string
		observe  func(c *vm)
		after    clock.Millis
		expected admission.Decision
	}{
		{"no answer from there", func(*vm) {}, 0, admission.Spilled},
		{"answers in time", func(c *vm) { answerElsewhere(c, 70) }, 0, admission.Spilled},
		{"late answers", func(c *vm) { answerElsewhere(c, 300) }, 0, admission.Refused},
		{"late answers as old as the news", func(c *vm) { answerElsewhere(c, 300) }, 2 * clock.Second, admission.Spilled},
		{"one late answer", func(c *vm) { c.ObserveElsewhere(c.now, 180) }, 0, admission.Spilled},
		{"requests shed there", func(c *vm) { c.ObserveShedElsewhere(c.now) }, 0, admission.Refused},
	}
	half := load.DomainPool{Targets: 20, Slots: 40, Work: load.Work{Busy: 16, Finished: 256}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newVM(orders, feeds)
			c.hear(admission.UpdateInterval, half)
			c.SetPresent(presentWith(300))
			c.hear(admission.UpdateInterval, poolWith("east", 70), half)
			tt.observe(c)
			is.Equal(c.Decide(c.now+tt.after, feeds.Priority, 0.5, []load.DomainPool{half}), tt.expected)
		})
	}
}

// answerElsewhere records some answers from another domain.
func answerElsewhere(c *vm, responseTime clock.Millis) {
	for range 10 {
		c.ObserveElsewhere(c.now, responseTime)
	}
}

// Load: one kind presses. All domains fill up at once, so not all that is refused here may leave before an answer shows that
// there is room.
func TestFirstOpeningsShowWhetherThereIsRoom(t *testing.T) {
	tests := []struct {
		name     string
		underWay int // in other domains
		answers  int // in time, from there
		since    clock.Millis
		expected int // openings that may leave, of ten
	}{
		{"nothing known", 0, 0, 0, 1},
		{"one is under way", 1, 0, 0, 0},
		{"one has been answered", 0, 1, 0, 2},
		{"many have been answered", 4, 20, 0, 10},
		{"many were answered long ago", 0, 20, clock.Minute, 1},
	}
	half := load.DomainPool{Targets: 20, Slots: 40, Work: load.Work{Busy: 16, Finished: 256}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newVM(orders, feeds)
			c.hear(admission.UpdateInterval, half)
			present := presentWith(300)
			present.Elsewhere = tt.underWay
			c.SetPresent(present)
			c.hear(admission.UpdateInterval, poolWith("east", 70), half)
			for range tt.answers {
				c.ObserveElsewhere(c.now-tt.since, 70)
			}
			count := map[admission.Decision]int{}
			for range 10 {
				count[c.Decide(c.now, feeds.Priority, 0.5, []load.DomainPool{half})]++
			}
			is.Equal(count[admission.Spilled], tt.expected)
			is.Equal(count[admission.Refused], 10-tt.expected)
		})
	}
}
