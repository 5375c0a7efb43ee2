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
	domains        = 2
	vmsPerDomain   = 25
	hostsPerDomain = 25 // targets in each domain
	slots          = 2
	queueLength    = 8
	serviceTime    = 20.0 // milliseconds, of a usual target
	newsInterval   = 250 * clock.Millisecond
	arrivalTrials  = 10    // a millisecond, of which each may bring a flow
	smoothing      = 0.005 // weight of a millisecond in the averages that VMs report
	targetLatency  = 100 * clock.Millisecond
)

// host is a target with slots and a queue.
type host struct {
	domain     int
	slowdown   float64
	maxFlows   int
	idle       int // flows without a request, of all VMs alike
	running    []request
	queue      []request
	busyOf     []float64 // requests under way of each VM
	averageOf  []float64 // busyOf, averaged
	finishedOf []float64 // requests of each VM that finished, per second
	served     int
}

// request is under way at a target.
type request struct {
	vm, domain int
	endsAt     clock.Millis
}

// vm is an entry VM with what it last heard of the others.
type vm struct {
	domain   int
	heard    []load.Work // of the other VMs, by target
	usual    float64     // service time in milliseconds
	spill    spread.Spill
	isPaused bool
}

// world holds the entry VMs and targets of two failure domains in virtual time.
type world struct {
	now      clock.Millis
	random   *rand.Rand
	vms      []*vm
	hosts    []*host
	rates    [domains]float64 // flows per second from the clients of each domain
	isStale  func(i int) bool // whether all VMs take a target for idle
	newsLoss float64          // share of the reports that are lost
	policy   policy
	answered [domains]int // requests, by domain of the client
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
	for i := range domains * hostsPerDomain {
		w.hosts = append(w.hosts, &host{
			domain: i / hostsPerDomain, slowdown: 1, busyOf: make([]float64, count), averageOf: make([]float64, count), finishedOf: make([]float64, count),
		})
	}
	for i := range count {
		w.vms = append(w.vms, &vm{domain: i / vmsPerDomain, heard: make([]load.Work, len(w.hosts))})
	}
	return w
}

// run plays a time of load.
func (w *world) run(duration clock.Millis) {
	for end := w.now + duration; w.now < end; w.now++ {
		for _, h := range w.hosts {
			w.finish(h)
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
	h := w.hosts[w.policy.choose(w, v)]
	if h.domain != domain {
		w.crossed++
	}
	underWay := len(h.running) + len(h.queue)
	if h.maxFlows > 0 && underWay+h.idle >= h.maxFlows {
		w.rejected++
		return
	}
	if underWay >= slots+queueLength {
		w.shed[domain]++
		return
	}
	h.busyOf[v]++
	h.queue = append(h.queue, request{vm: v, domain: domain})
	w.start(h)
}

// start gives free slots to waiting requests.
func (w *world) start(h *host) {
	for len(h.running) < slots && len(h.queue) > 0 {
		r := h.queue[0]
		h.queue = h.queue[1:]
		duration := serviceTime * h.slowdown * math.Exp(0.5*w.random.NormFloat64()-0.125)
		r.endsAt = w.now + max(1, clock.Millis(duration))
		h.running = append(h.running, r)
	}
}

// finish ends requests and lets the rates fade.
func (w *world) finish(h *host) {
	for v := range h.finishedOf {
		h.finishedOf[v] *= 1 - smoothing
		h.averageOf[v] += smoothing * (h.busyOf[v] - h.averageOf[v])
	}
	for i := len(h.running) - 1; i >= 0; i-- {
		r := h.running[i]
		if r.endsAt > w.now {
			continue
		}
		h.running = slices.Delete(h.running, i, i+1)
		h.busyOf[r.vm]--
		h.finishedOf[r.vm] += 1000 * smoothing
		h.served++
		w.answered[r.domain]++
	}
	w.start(h)
}

// work returns what a VM reports of a target.
func (h *host) work(v int) load.Work {
	return load.Work{Busy: h.averageOf[v], Finished: h.finishedOf[v], Flows: h.busyOf[v] + float64(h.idle)/float64(len(h.busyOf))}
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
	m.usual = own.Work.ServiceTime(own.Slots)
	m.spill.Update(w.now, own, others, spread.Margin(targetLatency, m.usual))
}

// hear updates what a VM believes of the others.
func (w *world) hear(v int) {
	for i, h := range w.hosts {
		w.vms[v].heard[i] = load.Work{}
		if w.isStale != nil && w.isStale(i) {
			continue
		}
		for other := range w.vms {
			if other != v && !w.vms[other].isPaused {
				w.vms[v].heard[i] = w.vms[v].heard[i].Add(h.work(other))
			}
		}
	}
}

// believed returns what a VM believes of the work at a target.
func (w *world) believed(v, i int) load.Work {
	own := w.hosts[i].work(v)
	own.Busy = max(own.Busy, w.hosts[i].busyOf[v])
	return own.Add(w.vms[v].heard[i])
}

// pools returns what a VM believes of the targets of its own domain and of the others.
func (w *world) pools(v int) (own, others load.Pool) {
	for i, h := range w.hosts {
		p := &others
		if h.domain == w.vms[v].domain {
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

// shareOf returns the share of the requests that some of the targets served.
func (w *world) shareOf(isCounted func(i int) bool) float64 {
	counted, total := 0, 0
	for i, h := range w.hosts {
		total += h.served
		if isCounted(i) {
			counted += h.served
		}
	}
	return float64(counted) / float64(total)
}

// forget forgets what was counted so far.
func (w *world) forget() {
	w.answered, w.shed = [domains]int{}, [domains]int{}
	w.crossed, w.rejected = 0, 0
	for _, h := range w.hosts {
		h.served = 0
	}
}
