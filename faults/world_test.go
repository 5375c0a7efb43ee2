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

// event is something that happens at a point of virtual time.
type event struct {
	at       clock.Millis
	sequence uint64
	run      func()
}

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

// config says how a world is made.
type config struct {
	seed      uint64
	naive     bool
	breakage  core.Breakage
	copies    int
	noCopies  bool
	domains   []string
	perDomain int
	hosts     int
	photos    int
	loss      float64
	duplicate float64
	jitter    clock.Millis // largest extra delay of a message
	skew      int          // largest clock drift in thousandths
	trace     bool
	health    bool // VMs probe targets
	shed      int  // openings in a hundred that a target resets
	spans     spans
	buckets   int
}

// spans are the settings of the daemons and clients that set the pace of a world.
type spans struct {
	opening        clock.Millis // lifetime of an opening packet
	lease          clock.Millis
	probe          clock.Millis
	retransmission clock.Millis // of openings and of holds
}

func marmara(seed uint64) config {
	return config{
		seed: seed, copies: 2, perDomain: 2, hosts: 14, photos: 4,
		domains: []string{"kadikoy", "besiktas", "umraniye", "bakirkoy"},
		buckets: rankingBuckets,
		spans: spans{
			opening: openingLifetime, lease: member.DefaultLease,
			probe: member.DefaultProbePeriod, retransmission: retransmission,
		},
	}
}

// world is the network in virtual time with all that is attached to it.
type world struct {
	config   config
	now      clock.Millis
	sequence uint64
	queue    eventQueue
	random   *rand.Rand
	vms      []*vm
	byID     map[fleet.ID]*vm
	cut      map[string]bool // failure domains that are cut off
	platform platform
	targets  []*target
	byTarget map[flow.Endpoint]*target
	clients  map[flow.Endpoint]*client
	rankings map[uint64]*fleet.Ranking
	ports    uint32
	copied   uint64 // bytes of datagrams that carried records
	oracle   oracle
	lines    []string
}

func newWorld(c config) *world {
	w := &world{
		config:   c,
		random:   rand.New(rand.NewPCG(c.seed, 1)),
		byID:     map[fleet.ID]*vm{},
		cut:      map[string]bool{},
		byTarget: map[flow.Endpoint]*target{},
		clients:  map[flow.Endpoint]*client{},
		rankings: map[uint64]*fleet.Ranking{},
	}
	w.oracle.world = w
	w.platform.init(w)
	for _, domain := range c.domains {
		for i := range c.perDomain {
			w.platform.vms = append(w.platform.vms, vmEntry{fmt.Sprintf("%s-%d", domain, i), domain, fleet.Serving})
		}
	}
	w.platform.publishList()
	w.platform.publishTables()
	for _, entry := range w.platform.vms {
		w.boot(entry.name, entry.domain)
	}
	return w
}

// after runs a function when a span of virtual time has passed.
func (w *world) after(d clock.Millis, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + d, w.sequence, run})
}

// run lets a span of virtual time pass.
func (w *world) run(span clock.Millis) {
	until := w.now + span
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *world) tracef(format string, arguments ...any) {
	if w.config.trace {
		w.lines = append(w.lines, fmt.Sprintf("%8d ", w.now)+fmt.Sprintf(format, arguments...))
	}
}

// reaches reports whether packets pass between two failure domains.
func (w *world) reaches(a, b string) bool {
	return a == b || !w.cut[a] && !w.cut[b]
}

// transmit carries something between two places, late, twice or not at all.
func (w *world) transmit(base clock.Millis, arrive func()) {
	if w.config.loss > 0 && w.random.Float64() < w.config.loss {
		return
	}
	w.after(base+w.extra(), arrive)
	if w.config.duplicate > 0 && w.random.Float64() < w.config.duplicate {
		w.after(base+w.extra(), arrive)
	}
}

func (w *world) extra() clock.Millis {
	return clock.Millis(w.random.Int64N(int64(w.config.jitter) + 2))
}

// spray picks the entry VM that the fabric hands a packet to. The fabric notices a dead
// VM after a second. domain is where the packet comes from, or "" for clients.
func (w *world) spray(domain string) *vm {
	var candidates []*vm
	for _, v := range w.vms {
		if (v.up || w.now-v.downSince < clock.Second) && (domain == "" || w.reaches(domain, v.domain)) {
			candidates = append(candidates, v)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.random.IntN(len(candidates))]
}

// ranking shares one ranking of a list among all Nodes.
func (w *world) ranking(list *fleet.List, previous *fleet.Ranking) *fleet.Ranking {
	if r, ok := w.rankings[list.Version()]; ok {
		return r
	}
	r := fleet.NewRanking(list, fleet.WithBuckets(w.config.buckets), fleet.WithPrevious(previous))
	w.rankings[list.Version()] = r
	return r
}

// vmEntry is a line of the published list.
type vmEntry struct {
	name   string
	domain string
	state  fleet.State
}

// platform publishes lists and tables. Readers see them late.
type platform struct {
	world         *world
	vms           []vmEntry
	hosts         []hostEntry
	listVersion   uint64
	tablesVersion uint64
	list          *fleet.List
	tables        *table.Snapshot
	older         []*table.Snapshot
	down          bool
	reorder       bool
	stale         bool // fresh readers get the oldest documents
	published     clock.Millis
	blind         clock.Millis // when it was last down or stale
}

type hostEntry struct {
	name   string
	domain string
	mark   string
	photo  bool
	number int
}

func (p *platform) init(w *world) {
	p.world = w
	for i := range w.config.hosts {
		p.hosts = append(p.hosts, hostEntry{fmt.Sprintf("b%02d", i), w.config.domains[i%len(w.config.domains)], "serving", false, i})
	}
	for i := range w.config.photos {
		p.hosts = append(p.hosts, hostEntry{fmt.Sprintf("p%02d", i), w.config.domains[i%len(w.config.domains)], "serving", true, i})
	}
}

func (p *platform) publishList() {
	p.listVersion++
	var vms []fleet.VM
	for _, e := range p.vms {
		vms = append(vms, fleet.NewVM(e.name, e.domain, netip.AddrPort{}, netip.AddrPort{}, e.state))
	}
	p.list = fleet.NewList(p.listVersion, vms)
	p.world.tracef("list %d published: %v", p.listVersion, p.vms)
}

// setState publishes a list in which a VM has another state.
func (p *platform) setState(name string, state fleet.State) {
	for i := range p.vms {
		if p.vms[i].name == name {
			p.vms[i].state = state
		}
	}
	p.publishList()
}

// remove publishes a list without some VMs.
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

// add boots another VM, which the next published list names.
func (p *platform) add(name, domain string) {
	p.vms = append(p.vms, vmEntry{name, domain, fleet.Serving})
	p.world.boot(name, domain)
}

func (p *platform) publishTables() {
	p.tablesVersion++
	snapshot, err := table.Parse([]byte(p.document()))
	if err != nil {
		panic(err)
	}
	if p.tables != nil {
		p.older = append(p.older, p.tables)
	}
	p.tables = snapshot
	p.published = p.world.now
	p.world.attachTargets()
	p.world.tracef("tables %d published", p.tablesVersion)
}

// mark publishes tables in which a host has another mark.
func (p *platform) mark(name, mark string) {
	for i := range p.hosts {
		if p.hosts[i].name == name {
			p.hosts[i].mark = mark
		}
	}
	p.publishTables()
}
