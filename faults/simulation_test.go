package faults

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/table"
)

const (
	tickPeriod      = 100 * clock.Millisecond
	openingLifetime = 20 * clock.Second
	rankingBuckets  = 1024
	flowHashSeed    = 7
)

// event is a function scheduled for a point in virtual time.
type event struct {
	at       clock.Millis
	sequence uint64 // orders events of the same time
	run      func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// config sets up a simulation.
type config struct {
	seed                 uint64
	naive                bool        // VMs run the baseline instead of almondflow
	defect               core.Defect // deliberate defect of the Nodes
	copies               int         // of each record, on other VMs
	noCopies             bool        // keep each record on one VM only
	domains              []string
	vmsPerDomain         int
	bookingHosts         int
	photoHosts           int
	lossProbability      float64
	duplicateProbability float64
	maxJitter            clock.Millis // maximum extra delay of a message
	maxDrift             int          // maximum clock drift in thousandths
	trace                bool         // collect trace lines
	probeTargets         bool         // VMs probe targets
	shedPercent          int          // percentage of openings that a target resets
	timing               timing
	rankingBuckets       int // of each ranking of a list
}

// timing holds the settings of daemons and clients that determine how fast a simulation
// proceeds.
type timing struct {
	opening        clock.Millis // lifetime of an opening packet
	lease          clock.Millis
	probe          clock.Millis
	retransmission clock.Millis // interval for openings and for all packets of holds
}

// marmaraConfig returns a deployment of four domains with the default settings of daemons.
func marmaraConfig(seed uint64) config {
	return config{
		seed: seed, copies: 2, vmsPerDomain: 2, bookingHosts: 14, photoHosts: 4,
		domains:        []string{"kadikoy", "besiktas", "umraniye", "bakirkoy"},
		rankingBuckets: rankingBuckets,
		timing: timing{
			opening: openingLifetime, lease: member.DefaultLease,
			probe: member.DefaultProbePeriod, retransmission: defaultRetransmission,
		},
	}
}

// simulation is an in-memory network in virtual time with the VMs, clients, targets and
// platform attached to it.
type simulation struct {
	config           config
	now              clock.Millis
	sequence         uint64
	queue            eventQueue
	random           *rand.Rand
	vms              []*vm
	vmByID           map[fleet.ID]*vm
	partitioned      map[string]bool // failure domains that are partitioned from all others
	platform         platform
	targets          []*target
	targetByEndpoint map[flow.Endpoint]*target
	clients          map[flow.Endpoint]*client
	rankings         map[uint64]*fleet.Ranking
	flowCount        uint32
	copyBytes        uint64 // bytes of the datagrams that copied records
	oracle           oracle
	traceLines       []string
}

// newSimulation publishes the list and the tables and boots all VMs.
func newSimulation(c config) *simulation {
	s := &simulation{
		config:           c,
		random:           rand.New(rand.NewPCG(c.seed, 1)),
		vmByID:           map[fleet.ID]*vm{},
		partitioned:      map[string]bool{},
		targetByEndpoint: map[flow.Endpoint]*target{},
		clients:          map[flow.Endpoint]*client{},
		rankings:         map[uint64]*fleet.Ranking{},
	}
	s.oracle.simulation = s
	s.platform.init(s)
	for _, domain := range c.domains {
		for i := range c.vmsPerDomain {
			s.platform.vms = append(s.platform.vms, vmEntry{fmt.Sprintf("%s-%d", domain, i), domain, fleet.Serving})
		}
	}
	s.platform.publishList()
	s.platform.publishTables()
	for _, entry := range s.platform.vms {
		s.boot(entry.name, entry.domain)
	}
	return s
}

// schedule runs a function after a delay in virtual time.
func (s *simulation) schedule(delay clock.Millis, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{s.now + delay, s.sequence, run})
}

// advance runs all events that are due within the next duration of virtual time.
func (s *simulation) advance(duration clock.Millis) {
	until := s.now + duration
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// tracef adds a line to the trace if tracing is enabled.
func (s *simulation) tracef(format string, arguments ...any) {
	if s.config.trace {
		s.traceLines = append(s.traceLines, fmt.Sprintf("%8d ", s.now)+fmt.Sprintf(format, arguments...))
	}
}

// connected reports whether packets pass between two failure domains.
func (s *simulation) connected(a, b string) bool {
	return a == b || !s.partitioned[a] && !s.partitioned[b]
}

// transmit schedules the arrival of a packet or message, which may be delayed, duplicated
// or lost. base is the delay without jitter.
func (s *simulation) transmit(base clock.Millis, arrive func()) {
	if s.config.lossProbability > 0 && s.random.Float64() < s.config.lossProbability {
		return
	}
	s.schedule(base+s.randomDelay(), arrive)
	if s.config.duplicateProbability > 0 && s.random.Float64() < s.config.duplicateProbability {
		s.schedule(base+s.randomDelay(), arrive)
	}
}

// randomDelay returns up to the configured jitter plus 1 ms.
func (s *simulation) randomDelay() clock.Millis {
	return clock.Millis(s.random.Int64N(int64(s.config.maxJitter) + 2))
}

// pickVM returns the entry VM that the fabric sends a packet to, or nil if there is none.
// The fabric detects a dead VM after a second. domain is the failure domain that the
// packet comes from, or "" for clients.
func (s *simulation) pickVM(domain string) *vm {
	var candidates []*vm
	for _, v := range s.vms {
		if (v.up || s.now-v.downSince < clock.Second) && (domain == "" || s.connected(domain, v.domain)) {
			candidates = append(candidates, v)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.random.IntN(len(candidates))]
}

// ranking returns the ranking of a list, which all Nodes share.
func (s *simulation) ranking(list *fleet.List, previous *fleet.Ranking) *fleet.Ranking {
	if r, ok := s.rankings[list.Version()]; ok {
		return r
	}
	r := fleet.NewRanking(list, fleet.WithBuckets(s.config.rankingBuckets), fleet.WithPrevious(previous))
	s.rankings[list.Version()] = r
	return r
}

// vmEntry is an entry of the published list.
type vmEntry struct {
	name   string
	domain string
	state  fleet.State
}

// platform publishes lists and tables, which readers receive with a delay.
type platform struct {
	simulation       *simulation
	vms              []vmEntry
	hosts            []hostEntry
	listVersion      uint64
	tablesVersion    uint64
	list             *fleet.List
	tables           *table.Snapshot
	previousTables   []*table.Snapshot // oldest first
	down             bool
	reorder          bool // readers get older tables after the newest ones
	stale            bool // readers get the oldest tables
	publishedAt      clock.Millis
	unavailableUntil clock.Millis // end of the last period in which it was down or stale
}

// hostEntry is a host in the published tables.
type hostEntry struct {
	name   string
	domain string
	state  string
	photo  bool // serves uploads
	number int  // determines the address
}

func (p *platform) init(s *simulation) {
	p.simulation = s
	for i := range s.config.bookingHosts {
		p.hosts = append(p.hosts, hostEntry{fmt.Sprintf("b%02d", i), s.config.domains[i%len(s.config.domains)], "serving", false, i})
	}
	for i := range s.config.photoHosts {
		p.hosts = append(p.hosts, hostEntry{fmt.Sprintf("p%02d", i), s.config.domains[i%len(s.config.domains)], "serving", true, i})
	}
}

// publishList publishes the VMs as the next version of the list.
func (p *platform) publishList() {
	p.listVersion++
	var vms []fleet.VM
	for _, e := range p.vms {
		vms = append(vms, fleet.NewVM(e.name, e.domain, netip.AddrPort{}, netip.AddrPort{}, e.state))
	}
	p.list = fleet.NewList(p.listVersion, vms)
	p.simulation.tracef("list %d published: %v", p.listVersion, p.vms)
}

// setVMState publishes a list with a new state of a VM.
func (p *platform) setVMState(name string, state fleet.State) {
	for i := range p.vms {
		if p.vms[i].name == name {
			p.vms[i].state = state
		}
	}
	p.publishList()
}

// remove publishes a list without the named VMs.
func (p *platform) remove(names ...string) {
	var kept []vmEntry
	for _, e := range p.vms {
		gone := false
		for _, name := range names {
			gone = gone || e.name == name
		}
		if !gone {
			kept = append(kept, e)
		}
	}
	p.vms = kept
	p.publishList()
}

// add boots a VM. The next published list contains it.
func (p *platform) add(name, domain string) {
	p.vms = append(p.vms, vmEntry{name, domain, fleet.Serving})
	p.simulation.boot(name, domain)
}

// publishTables publishes the hosts as the next version of the tables.
func (p *platform) publishTables() {
	p.tablesVersion++
	snapshot, err := table.Parse([]byte(p.document()))
	if err != nil {
		panic(err)
	}
	if p.tables != nil {
		p.previousTables = append(p.previousTables, p.tables)
	}
	p.tables = snapshot
	p.publishedAt = p.simulation.now
	p.simulation.syncTargets()
	p.simulation.tracef("tables %d published", p.tablesVersion)
}

// setHostState publishes tables with a new state of a host.
func (p *platform) setHostState(name, state string) {
	for i := range p.hosts {
		if p.hosts[i].name == name {
			p.hosts[i].state = state
		}
	}
	p.publishTables()
}
