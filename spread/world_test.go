package spread_test

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
	"github.com/almondflow/almondflow/spread"
)

// Sizes of the fake world. Each flow carries one request.
const (
	domains          = 2
	vmsPerDomain     = 25
	targetsPerDomain = 25 // targets in each domain
	slots            = 2
	queueLength      = 8
	serviceTime      = 20.0 // milliseconds, of a usual target
	newsInterval     = 250 * clock.Millisecond
	arrivalTrials    = 10    // a millisecond, of which each may bring a flow
	smoothing        = 0.005 // weight of a millisecond in the averages that VMs report
	targetLatency    = 100 * clock.Millisecond
)

// target has slots and a queue.
type target struct {
	domain         int
	slowdown       float64
	maxConnections int
	idle           int // flows without a request, of all VMs alike
	running        []request
	queue          []request
	busyOf         []float64 // requests under way of each VM
	averageOf      []float64 // busyOf, averaged
	finishedOf     []float64 // requests of each VM that finished, per second
	served         int
}

// request is under way at a target.
type request struct {
	vm, domain int
	arrivedAt  clock.Millis
	endsAt     clock.Millis
}

// vm is an entry VM with what it last heard of the others.
type vm struct {
	domain       int
	heard        []load.Work    // of the other VMs, by target
	serviceTime  float64        // usual, in milliseconds
	responseTime float64        // response time at the domain's targets, in usual service times
	paces        []*spread.Pace // of the targets
	spill        spread.Spill
	isPaused     bool
}

// world holds the entry VMs and targets of two failure domains in virtual time.
type world struct {
	now      clock.Millis
	random   *rand.Rand
	vms      []*vm
	targets  []*target
	rates    [domains]float64 // flows per second from the clients of each domain
	isStale  func(i int) bool // whether all VMs take a target for idle
	newsLoss float64          // share of the reports that are lost
	policy   policy
	answered [domains]int // requests, by domain of the client
	late     [domains]int // those of them that took longer than the target latency
	shed     [domains]int // requests that targets shed, by domain of the client
	crossed  int          // flows sent to the other domain
	rejected int          // flows beyond the limit of a target
}

// policy chooses the target of a new flow.
type policy interface {
	choose(w *world, v int) int
}

func newWorld(p policy, rates [domains]float64) *world {
	w := &world{random: rand.New(rand.NewPCG(1, 2)), policy: p, rates: rates}
	count := domains * vmsPerDomain
	for i := range domains * targetsPerDomain {
		w.targets = append(w.targets, &target{
			domain: i / targetsPerDomain, slowdown: 1, busyOf: make([]float64, count), averageOf: make([]float64, count), finishedOf: make([]float64, count),
		})
	}
	for i := range count {
		m := &vm{domain: i / vmsPerDomain, heard: make([]load.Work, len(w.targets))}
		for range w.targets {
			m.paces = append(m.paces, &spread.Pace{})
		}
		w.vms = append(w.vms, m)
	}
	return w
}

// run plays a time of load.
func (w *world) run(duration clock.Millis) {
	for end := w.now + duration; w.now < end; w.now++ {
		for _, t := range w.targets {
			w.finish(t)
		}
		for domain, rate := range w.rates {
			for range arrivalTrials {
				if w.random.Float64() < rate/1000/arrivalTrials {
					w.arrive(domain)
				}
			}
		}
		for i := range w.vms {
			if w.now%newsInterval == clock.Millis(i)*newsInterval/clock.Millis(len(w.vms)) {
				w.update(i)
			}
		}
	}
}

// arrive sends a request through a random VM of the client's domain.
func (w *world) arrive(domain int) {
	v := domain*vmsPerDomain + w.random.IntN(vmsPerDomain)
	for w.vms[v].isPaused {
		v = domain*vmsPerDomain + w.random.IntN(vmsPerDomain)
	}
	t := w.targets[w.policy.choose(w, v)]
	if t.domain != domain {
		w.crossed++
	}
	underWay := len(t.running) + len(t.queue)
	if t.maxConnections > 0 && underWay+t.idle >= t.maxConnections {
		w.rejected++
		return
	}
	if underWay >= slots+queueLength {
		w.shed[domain]++
		return
	}
	t.busyOf[v]++
	t.queue = append(t.queue, request{vm: v, domain: domain, arrivedAt: w.now})
	w.start(t)
}

// start gives free slots to waiting requests.
func (w *world) start(t *target) {
	for len(t.running) < slots && len(t.queue) > 0 {
		r := t.queue[0]
		t.queue = t.queue[1:]
		duration := serviceTime * t.slowdown * math.Exp(0.5*w.random.NormFloat64()-0.125)
		r.endsAt = w.now + max(1, clock.Millis(duration))
		t.running = append(t.running, r)
	}
}

// finish ends requests and lets the rates fade.
func (w *world) finish(t *target) {
	for v := range t.finishedOf {
		t.finishedOf[v] *= 1 - smoothing
		t.averageOf[v] += smoothing * (t.busyOf[v] - t.averageOf[v])
	}
	for i := len(t.running) - 1; i >= 0; i-- {
		r := t.running[i]
		if r.endsAt > w.now {
			continue
		}
		t.running = slices.Delete(t.running, i, i+1)
		t.busyOf[r.vm]--
		t.finishedOf[r.vm] += 1000 * smoothing
		t.served++
		w.answered[r.domain]++
		if t.domain == w.vms[r.vm].domain {
			w.vms[r.vm].spill.Observe(w.now-r.arrivedAt, w.vms[r.vm].serviceTime)
		}
		if w.now-r.arrivedAt > targetLatency {
			w.late[r.domain]++
		}
	}
	w.start(t)
}

// work returns what a VM reports of a target.
func (t *target) work(v int) load.Work {
	return load.Work{Busy: t.averageOf[v], Finished: t.finishedOf[v], Flows: t.busyOf[v] + float64(t.idle)/float64(len(t.busyOf))}
}

// update is the periodic work of a VM.
func (w *world) update(v int) {
	m := w.vms[v]
	if m.isPaused {
		return
	}
	if w.random.Float64() >= w.newsLoss {
		w.hear(v)
	}
	own, others := w.pools(v)
	m.observePaces(w, v)
	m.responseTime = (own.Work.Busy/float64(own.Targets) + 1) / slots
	m.spill.Update(w.now, own, others, spread.Margin(targetLatency, m.serviceTime))
}

// observePaces updates what a VM believes of the speeds of the targets.
func (m *vm) observePaces(w *world, v int) {
	var own []*spread.Pace
	for i, t := range w.targets {
		seen := t.work(v).Add(m.heard[i])
		m.paces[i].Add(w.now, seen, w.believed(v, i), slots, m.serviceTime)
		if t.domain == m.domain {
			own = append(own, m.paces[i])
		}
	}
	m.serviceTime = spread.UsualServiceTime(w.now, slices.Values(own))
}

// hear updates what a VM believes of the others.
func (w *world) hear(v int) {
	for i, t := range w.targets {
		w.vms[v].heard[i] = load.Work{}
		if w.isStale != nil && w.isStale(i) {
			continue
		}
		for other := range w.vms {
			if other != v && !w.vms[other].isPaused {
				w.vms[v].heard[i] = w.vms[v].heard[i].Add(t.work(other))
			}
		}
	}
}

// believed returns what a VM believes of the work at a target.
func (w *world) believed(v, i int) load.Work {
	own := w.targets[i].work(v)
	own.Busy = max(own.Busy, w.targets[i].busyOf[v])
	return own.Add(w.vms[v].heard[i])
}

// pools returns what a VM believes of the targets of its own domain and of the others.
func (w *world) pools(v int) (own, others load.DomainPool) {
	for i, t := range w.targets {
		p := &others
		if t.domain == w.vms[v].domain {
			p = &own
		}
		p.Targets++
		p.Slots += slots
		p.Work = p.Work.Add(w.believed(v, i))
	}
	return own, others
}

// shedShare returns the share of a domain's requests that targets shed.
func (w *world) shedShare(domain int) float64 {
	return float64(w.shed[domain]) / float64(w.answered[domain]+w.shed[domain])
}

// lateShare returns the share of a domain's requests that targets shed or answered after the target latency.
func (w *world) lateShare(domain int) float64 {
	return float64(w.late[domain]+w.shed[domain]) / float64(w.answered[domain]+w.shed[domain])
}

// shareOf returns the share of the requests that some of the targets served.
func (w *world) shareOf(isCounted func(i int) bool) float64 {
	counted, total := 0, 0
	for i, t := range w.targets {
		total += t.served
		if isCounted(i) {
			counted += t.served
		}
	}
	return float64(counted) / float64(total)
}

// forget forgets what was counted so far.
func (w *world) forget() {
	w.answered, w.shed, w.late = [domains]int{}, [domains]int{}, [domains]int{}
	w.crossed, w.rejected = 0, 0
	for _, t := range w.targets {
		t.served = 0
	}
}
