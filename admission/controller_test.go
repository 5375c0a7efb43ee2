package admission_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/admission"
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// Levels of a pool whose most urgent callers want their answer within 400 ms.
var (
	orders  = admission.Level{Priority: 1, TargetLatency: 400, Timeout: 6000}
	feeds   = admission.Level{Priority: 2, TargetLatency: 800, Timeout: 5000}
	reports = admission.Level{Priority: 3, TargetLatency: 100, Timeout: 5000}
)

// settlingTime is long enough for averages to settle.
const settlingTime = 10 * clock.Second

// poolWith returns the work at 20 targets with 2 slots each, at which one more request takes the given time.
func poolWith(domain string, responseTime float64) load.DomainPool {
	const targets, slots, finished = 20, 40, 640.0 // a slot is occupied for 62.5 ms
	return load.DomainPool{
		ID: load.DomainPoolID{Service: "orders", Domain: domain}, Targets: targets, Slots: slots,
		Work: load.Work{Busy: responseTime*finished/1000 - targets, Finished: finished},
	}
}

// withAge returns the pool with news of another age.
func withAge(p load.DomainPool, age clock.Millis) load.DomainPool {
	p.Age = age
	return p
}

// vm is an entry VM that refuses openings to one pool.
type vm struct {
	admission.Controller
	now clock.Millis
}

func newVM(levels ...admission.Level) *vm {
	v := &vm{now: clock.Second}
	v.SetLevels(levels)
	return v
}

// hear updates the controller for some time with the same news and returns the refused shares.
func (v *vm) hear(duration clock.Millis, domains ...load.DomainPool) []float64 {
	for end := v.now + duration; v.now < end; v.now += admission.UpdateInterval {
		for _, share := range v.Shares() {
			v.Refuse(v.now, share.Priority, 1)
		}
		v.Update(v.now, domains)
	}
	var refused []float64
	for _, s := range v.Shares() {
		refused = append(refused, s.Refused)
	}
	return refused
}

// rounded formats shares with one decimal, as averages come close to their final value only.
func rounded(shares []float64) string { return fmt.Sprintf("%.1f", shares) }

func TestLeastUrgentIsRefusedFirst(t *testing.T) {
	tests := []struct {
		name         string
		responseTime float64
		expected     string
	}{
		{"free slots", 62.5, "[0.0 0.0 0.0]"},
		{"a short queue", 100, "[0.0 0.0 0.0]"},
		{"a longer queue", 183, "[0.0 0.0 0.5]"},
		{"the least urgent fully", 234, "[0.0 0.0 1.0]"},
		{"then the next", 283, "[0.0 0.5 1.0]"},
		{"the most urgent never", 1000, "[0.0 1.0 1.0]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newVM(reports, orders, feeds)
			is.Equal(rounded(c.hear(settlingTime, poolWith("east", tt.responseTime))), tt.expected)
		})
	}
}

func TestNothingIsRefusedIfOneDomainAnswersSoon(t *testing.T) {
	full := poolWith("east", 1000)
	tests := []struct {
		name      string
		domains   []load.DomainPool
		isRefused bool
	}{
		{"all domains full", []load.DomainPool{full, poolWith("west", 1000)}, true},
		{"room in another domain", []load.DomainPool{full, poolWith("west", 70)}, false},
		{"another domain without answers", []load.DomainPool{full, {Targets: 20, Slots: 40}}, true},
		{"room in a domain with old news", []load.DomainPool{full, withAge(poolWith("west", 70), clock.Minute)}, true},
		{"no targets", nil, false},
		{"nothing finishes anywhere", []load.DomainPool{{Targets: 20, Slots: 40, Work: load.Work{Busy: 400}}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newVM(orders, feeds)
			c.hear(settlingTime, tt.domains...)
			is.Equal(c.IsRefusing(), tt.isRefused)
			is.True(!c.Refuse(c.now, orders.Priority, 0))
			is.Equal(c.Refuse(c.now, feeds.Priority, 0.5), tt.isRefused)
		})
	}
}

// A pool whose requests take long also without load, as answers are long on their way, is not full.
func TestLongResponseTimeWithoutLoadIsNoOverload(t *testing.T) {
	is := is.New(t)
	c := newVM(orders, feeds)
	idle := load.DomainPool{Targets: 20, Slots: 40, Work: load.Work{Busy: 20, Finished: 160}}
	c.hear(settlingTime, idle)
	is.Equal(c.Room().ResponseTime, 125.0)
	is.Equal(c.hear(settlingTime, poolWith("east", 140)), []float64{0, 0})
	is.Equal(rounded(c.hear(settlingTime, poolWith("east", 1000))), "[0.0 1.0]")
}

// An opening is refused more often than a request: one that is refused is tried again.
func TestOpeningsAreRefusedByTheirOwnShare(t *testing.T) {
	is := is.New(t)
	c := newVM(orders, feeds)
	c.hear(settlingTime, poolWith("east", 183))
	s := c.Shares()[1]
	is.Equal(fmt.Sprintf("%.2f %.2f", s.Refused, s.RefusedOpenings), "0.50 0.79")
	is.True(c.Refuse(c.now, feeds.Priority, s.RefusedOpenings-0.01))
	is.True(!c.Refuse(c.now, feeds.Priority, s.RefusedOpenings+0.01))
}

// A low rate of answers shows no response time: one vanished client would make it look long.
func TestFewAnswersDoNotRaiseTheTimeWithoutLoad(t *testing.T) {
	is := is.New(t)
	c := newVM(orders, feeds)
	c.hear(settlingTime, load.DomainPool{Targets: 20, Slots: 40, Work: load.Work{Busy: 1, Finished: 0.05}})
	is.Equal(rounded(c.hear(settlingTime, poolWith("east", 183))), "[0.0 0.5]")
}

// However long requests take without load, answers within half of the target latency count fully.
func TestAnswersInTimeCountFully(t *testing.T) {
	is := is.New(t)
	c := newVM(orders, feeds)
	c.hear(settlingTime, load.DomainPool{Targets: 20, Slots: 40, Work: load.Work{Busy: 20, Finished: 20}})
	c.Observe(200)
	c.Update(c.now, nil)
	is.Equal(c.Room().ResponseTime, 200.0)
}

// Without thresholds from the tables, or with one priority, nothing is refused.
func TestPoolsThatDoNotAskForItRefuseNothing(t *testing.T) {
	tests := []struct {
		name   string
		levels []admission.Level
	}{
		{"no routes", nil},
		{"one priority", []admission.Level{orders, orders}},
		{"no target latency", []admission.Level{{Priority: 1}, {Priority: 2}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newVM(tt.levels...)
			c.hear(settlingTime, poolWith("east", 1000))
			is.True(!c.IsRefusing())
			is.True(!c.Refuse(c.now, 2, 0))
		})
	}
}

// A VM without news of the others goes by the time that its own requests take, and serves at least half.
func TestErrorOfALoneVMIsBounded(t *testing.T) {
	tests := []struct {
		name         string
		responseTime clock.Millis // of its own requests, or zero if it has none
		expected     string
	}{
		{"its requests take long", 600, "[0.0 0.5]"},
		{"its requests are answered soon", 60, "[0.0 0.0]"},
		{"it forwards none", 0, "[0.0 0.0]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newVM(orders, feeds)
			old := withAge(poolWith("east", 1000), 4*clock.Second)
			var refused []float64
			for range 100 {
				if tt.responseTime > 0 {
					c.Observe(tt.responseTime)
				}
				refused = c.hear(admission.UpdateInterval, old)
			}
			is.Equal(rounded(refused), tt.expected)
		})
	}
}

// Own answers show a load seconds before the news does, and that it is over.
func TestOwnAnswersCountBeforeLateNews(t *testing.T) {
	is := is.New(t)
	c := newVM(orders, feeds)
	answer := func(responseTime clock.Millis, news load.DomainPool) float64 {
		var refused []float64
		for range 20 {
			for range 10 {
				c.Observe(responseTime)
			}
			refused = c.hear(admission.UpdateInterval, news)
		}
		return refused[1]
	}
	is.Equal(answer(60, poolWith("east", 70)), 0.0)
	is.True(answer(300, poolWith("east", 70)) > 0.5)
	is.True(answer(60, poolWith("east", 300)) < 0.1)
}

// A VM whose own requests take long while fresh news shows that the targets are idle has another trouble.
func TestNothingIsRefusedBesideIdleTargets(t *testing.T) {
	is := is.New(t)
	c := newVM(orders, feeds)
	idle := load.DomainPool{Targets: 20, Slots: 40, Work: load.Work{Busy: 5, Finished: 80}}
	for range 10 {
		c.Observe(1000)
	}
	is.Equal(c.hear(admission.UpdateInterval, idle), []float64{0, 0})
}

// VMs that have had the same news for some seconds refuse the same share, whenever they started.
func TestVMsWithTheSameNewsAgree(t *testing.T) {
	is := is.New(t)
	old, restarted := newVM(orders, feeds), newVM(orders, feeds)
	old.hear(settlingTime, poolWith("east", 1000))
	news := poolWith("east", 150)
	is.True(old.hear(5*clock.Second, news)[1]-restarted.hear(5*clock.Second, news)[1] < 0.05)
}

// Callers of a route that nobody uses need no protection, however urgent it is.
func TestUnusedRoutesDecideNothing(t *testing.T) {
	is := is.New(t)
	c := newVM(admission.Level{Priority: 0, TargetLatency: 50}, orders, feeds)
	for range 100 {
		c.Refuse(c.now, orders.Priority, 1)
		c.Refuse(c.now, feeds.Priority, 1)
		c.Update(c.now, []load.DomainPool{poolWith("east", 400)})
		c.now += admission.UpdateInterval
	}
	is.Equal(c.Shares()[1].Refused, 0.0) // nobody is more urgent
	is.True(c.Shares()[2].Refused > 0.9)
}

func ExampleController() {
	c := &admission.Controller{}
	c.SetLevels([]admission.Level{orders, feeds})
	c.Refuse(clock.Second, orders.Priority, 0.5)
	c.Update(clock.Second, []load.DomainPool{poolWith("east", 183)})
	for _, s := range c.Shares() {
		fmt.Printf("priority %d: %.2f\n", s.Priority, s.Refused)
	}
	// Output:
	// priority 1: 0.00
	// priority 2: 0.50
}
