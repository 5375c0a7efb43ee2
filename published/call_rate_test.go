package published_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/published"
)

// gossipDelay is the time after which a version that a reader fetched has reached all
// daemons.
const gossipDelay = 5 * clock.Second

func fleetOf(daemons, domains int) *fleet.List {
	var vms []fleet.VM
	for i := range daemons {
		name := fmt.Sprintf("vm-%d", i)
		vms = append(vms, fleet.NewVM(name, fmt.Sprintf("domain-%d", i%domains), netip.AddrPort{}, netip.AddrPort{}, fleet.Serving))
	}
	return fleet.NewList(1, vms)
}

// fleetSimulation simulates the pollers of a fleet in virtual time and counts their calls.
type fleetSimulation struct {
	list      *fleet.List
	readers   []fleet.ID
	service   *service
	queue     pollerQueue
	hasGossip bool
	// fetchedAt is when a value was first fetched by any daemon, by the name of the value.
	fetchedAt map[string]clock.Millis
	// perSecond is the number of calls in each second.
	perSecond map[clock.Millis]int
}

// simulatedPoller is one of the two pollers of a daemon.
type simulatedPoller struct {
	// at is the time of its next step.
	at      clock.Millis
	id      fleet.ID
	limiter *published.Limiter
	poller  *published.Poller
	// other is the other poller of the same daemon.
	other *simulatedPoller
}

// pollerQueue is a heap ordered by the time of the next step.
type pollerQueue []*simulatedPoller

func (q pollerQueue) Len() int           { return len(q) }
func (q pollerQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q pollerQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *pollerQueue) Push(x any)        { *q = append(*q, x.(*simulatedPoller)) }
func (q *pollerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// startFleet starts all daemons at the same time without any version.
func startFleet(daemons int, hasGossip bool) *fleetSimulation {
	f := &fleetSimulation{
		list:      fleetOf(daemons, 7),
		service:   newService(),
		hasGossip: hasGossip,
		fetchedAt: make(map[string]clock.Millis),
		perSecond: make(map[clock.Millis]int),
	}
	f.readers = published.SelectReaders(f.list, published.ReadersPerDomain)
	for i := range f.list.VMs() {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		limiter := published.NewLimiter(0, daemons)
		list := &simulatedPoller{id: f.list.VMs()[i].ID(), limiter: limiter, poller: published.NewPoller(0, published.List, limiter, random, daemons)}
		tables := &simulatedPoller{id: list.id, limiter: limiter, poller: published.NewPoller(0, published.Tables, limiter, random, daemons)}
		list.other, tables.other = tables, list
		f.queue = append(f.queue, list, tables)
	}
	for _, p := range f.queue {
		p.at = p.poller.DueAt()
	}
	heap.Init(&f.queue)
	return f
}

func (f *fleetSimulation) runUntil(end clock.Millis) {
	for f.queue[0].at < end {
		p := f.queue[0]
		f.step(p)
		heap.Fix(&f.queue, 0)
	}
}

// step reports the version of the peers to a poller and makes its call if one is due.
func (f *fleetSimulation) step(p *simulatedPoller) {
	now := p.at
	fetched, isFetched := f.fetchedAt[p.poller.Name()]
	if f.hasGossip && isFetched && now > fetched+gossipDelay && !published.IsReader(f.readers, p.id) {
		p.poller.RecordVersion(1)
		p.poller.ReceivePeerVersion(now, 1, 0)
	}
	request, ok := p.poller.Next(now)
	if !ok {
		p.at = max(now+1, p.poller.DueAt())
		return
	}
	f.perSecond[now/clock.Second]++
	response := f.service.call(request)
	end := now + 1
	if response.Outcome() == published.Unchanged {
		end += request.Wait()
	}
	update, ok := p.poller.HandleResponse(end, response)
	if ok && update.Name() == published.List {
		isReader := published.IsReader(f.readers, p.id)
		p.limiter.SetFleet(end, f.list.Len(), len(f.readers), isReader)
		p.poller.SetFleet(end, f.list.Len(), isReader)
		p.other.poller.SetFleet(end, f.list.Len(), isReader)
	}
	if ok && f.fetchedAt[p.poller.Name()] == 0 {
		f.fetchedAt[p.poller.Name()] = end
	}
	p.at = max(end, p.poller.DueAt())
}

// rates returns the highest and the mean number of calls per second in a period.
func (f *fleetSimulation) rates(from, to clock.Millis) (peak, mean float64) {
	sum := 0
	for second := from / clock.Second; second < to/clock.Second; second++ {
		sum += f.perSecond[second]
		peak = max(peak, float64(f.perSecond[second]))
	}
	return peak, float64(sum) / float64((to-from)/clock.Second)
}

func (f *fleetSimulation) publish() {
	f.service.publish(published.List, 1, `{"version":1}`)
	f.service.publish(published.Tables, 1, `{"version":1}`)
}

// fleetScenarios are situations in which all daemons of a fleet call at the same time.
var fleetScenarios = []struct {
	name      string
	hasGossip bool
	run       func(f *fleetSimulation)
}{
	{"restart_of_all", true, (*fleetSimulation).publish},
	{"restart_of_all_without_peers", false, (*fleetSimulation).publish},
	{"platform_down_then_up", true, func(f *fleetSimulation) {
		down := published.NewFailure("down")
		f.publish()
		f.service.fault = &down
		f.runUntil(3 * clock.Minute)
		f.service.fault = nil
	}},
}

// Guards against a fleet that exceeds CallsPerSecond when the calls of its daemons coincide,
// because all of them restart at once or the platform recovers from a failure.
func TestCallRateOfALargeFleetStaysInItsShare(t *testing.T) {
	for _, scenario := range fleetScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(16_000, scenario.hasGossip)
			scenario.run(f)
			f.runUntil(6 * clock.Minute)
			peak, _ := f.rates(0, 6*clock.Minute)
			is.True(peak > 0)
			is.True(peak <= published.CallsPerSecond)
		})
	}
}

// BenchmarkCallRate reports the calls per second of all daemons together.
func BenchmarkCallRate(b *testing.B) {
	for _, scenario := range fleetScenarios {
		for _, daemons := range []int{8, 1_000, 4_000, 16_000} {
			b.Run(fmt.Sprintf("%s/daemons=%d", scenario.name, daemons), func(b *testing.B) {
				for b.Loop() {
					f := startFleet(daemons, scenario.hasGossip)
					scenario.run(f)
					f.runUntil(10 * clock.Minute)
					peak, _ := f.rates(0, 5*clock.Minute)
					_, steady := f.rates(5*clock.Minute, 10*clock.Minute)
					b.ReportMetric(peak, "peak_calls/s")
					b.ReportMetric(steady, "steady_calls/s")
					b.ReportMetric(float64(f.fetchedAt[published.Tables])/float64(clock.Second), "first_tables_s")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
