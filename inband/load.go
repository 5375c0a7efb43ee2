package inband

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// loadState holds what this VM knows of the work of others, and which targets and pools have work.
type loadState struct {
	isShared    bool
	active      []*Backend // targets with work of this VM
	reported    []*Backend // targets of which other VMs reported work
	heard       load.Heard
	news        *load.News
	pools       []*domainPool
	byHash      map[uint32]*domainPool  // the same, by the hash of the ID
	working     []*domainPool           // those that have work
	uncounted   []*domainPool           // those whose targets changed
	countIndex  int                     // in pools, of the one that was counted last
	quiet       load.Estimate           // of pools without work
	age         clock.Millis            // of the reports heard, as of the last update
	newsAges    map[uint32]clock.Millis // of the newest news of other failure domains, by the hash of the name
	ownDomain   uint32                  // hash of the name
	domain      string
	windowAt    clock.Millis // when the window of the meters began
	resumedAt   clock.Millis // as of the last update
	hasMeasured bool         // the last window was measured
}

func newLoadState(options *Options) *loadState {
	s := &loadState{
		isShared: options.SharesLoad, news: load.NewNews(), age: load.ReportLifetime,
		newsAges: map[uint32]clock.Millis{}, domain: options.Domain, ownDomain: load.HashDomain(options.Domain),
	}
	s.removePools()
	return s
}

// track lists a target as one with work of this VM.
func (s *loadState) track(b *Backend) {
	if s.isShared && !b.isActive {
		b.isActive = true
		s.active = append(s.active, b)
	}
}

// forget forgets what was heard of other VMs and what was believed by it.
func (s *loadState) forget() {
	s.heard.Forget()
	s.news.Forget()
	s.age = load.ReportLifetime
	for _, b := range s.reported {
		b.heard = load.Work{}
	}
	for _, d := range s.working {
		d.hasWork = false
	}
	s.reported, s.working = s.reported[:0], s.working[:0]
}

// removePools forgets the pools before they are added anew.
func (s *loadState) removePools() {
	for _, d := range s.pools {
		d.isListed = false
	}
	s.pools, s.byHash, s.uncounted = nil, map[uint32]*domainPool{}, nil
}

// removeTargets lists the targets that were removed no more. Their flows may go on.
func (s *loadState) removeTargets(byID map[string]*Backend) {
	s.active = slices.DeleteFunc(s.active, func(b *Backend) bool {
		b.isActive = byID[b.target.ID] == b
		return !b.isActive
	})
}

// add makes a pool known that got a target.
func (s *loadState) add(d *domainPool) {
	if !d.isListed {
		d.isListed, d.isLocal, d.isCounted = true, d.id.Domain == s.domain, true
		s.pools = append(s.pools, d)
		s.byHash[d.id.Hash()] = d
	}
	s.recount(d)
}

// recount has the targets of a pool counted at the next update. A target that shares its tag may be in none.
func (s *loadState) recount(d *domainPool) {
	if d != nil && d.isCounted {
		d.isCounted = false
		s.uncounted = append(s.uncounted, d)
	}
}

// markWorking lists a pool as one that has work.
func (s *loadState) markWorking(d *domainPool) {
	if !d.hasWork {
		d.reset()
		d.hasWork = true
		s.working = append(s.working, d)
	}
}

// listWorking lists the pools that have work after they were added anew.
func (s *loadState) listWorking() {
	s.working = nil
	for _, d := range s.pools {
		if d.hasWork {
			s.working = append(s.working, d)
		}
	}
}

// hasFreshNews reports whether the VMs of another failure domain told of their work lately. Pools that they do
// not tell of have little work.
func (s *loadState) hasFreshNews(domain string) bool {
	age, ok := s.newsAges[load.HashDomain(domain)]
	return ok && age <= load.FreshNewsTime
}

// summary returns the work of all VMs at a pool's targets in one failure domain.
func (s *loadState) summary(d *domainPool) load.DomainPool {
	p := load.DomainPool{ID: d.id, Targets: d.targets, Slots: d.slots, Age: load.NewsLifetime}
	if d.hasWork {
		p.Work, p.Age = d.fromOwnDomain.Add(d.foreign), d.newsAge
	}
	if d.isLocal {
		p.Age = s.age
	}
	return p
}

// ReceiveLoad takes in the report of a VM of the given failure domain. Of the work of whole domains, each
// tells only its own to others.
func (e *Engine) ReceiveLoad(now clock.Millis, from netip.AddrPort, domain string, report load.Report) {
	if !e.load.isShared {
		return
	}
	source := load.HashDomain(domain)
	isLocal := domain == e.options.Domain
	for i := range report.Pools {
		p := &report.Pools[i]
		isKnown := e.load.byHash[p.Pool] != nil // news of others would only fill the room
		if isKnown && p.Source != e.load.ownDomain && (isLocal || p.Source == source) {
			e.load.news.Add(now, p)
		}
	}
	if isLocal {
		e.load.heard.Add(now, from, report)
	}
}

// ForgetLoad forgets what other VMs reported. It is called after a pause, as their reports may be older than
// the clock shows.
func (e *Engine) ForgetLoad() {
	e.load.forget()
	e.load.quiet = load.Sample{Others: e.localVMs - 1}.ByTarget(load.Work{}, 1)
}

// ForgetLoadOf forgets what a VM reported that has shut down.
func (e *Engine) ForgetLoadOf(vm netip.AddrPort) { e.load.heard.Remove(vm) }

// HasMeasuredLoad reports whether this VM has measured its work since it started or last stood still. Before, a
// report would tell others that it has none.
func (e *Engine) HasMeasuredLoad() bool { return e.load.hasMeasured && e.load.resumedAt == e.resumedAt }

// LoadReporters returns the number of VMs whose reports count.
func (e *Engine) LoadReporters(now clock.Millis) int { return e.load.heard.VMs(now) }

// LoadAge returns the mean age of their reports.
func (e *Engine) LoadAge(now clock.Millis) clock.Millis { return e.load.heard.Age(now) }

// LoadPools returns the work at all pools by failure domain, ordered by name, or nothing if VMs do not share
// their load.
func (e *Engine) LoadPools() []load.DomainPool {
	if !e.load.isShared {
		return nil
	}
	all := make([]load.DomainPool, 0, len(e.load.pools))
	for _, d := range e.load.pools {
		all = append(all, e.load.summary(d))
	}
	slices.SortFunc(all, func(a, b load.DomainPool) int {
		return cmp.Or(cmp.Compare(a.ID.Service, b.ID.Service), cmp.Compare(a.ID.Domain, b.ID.Domain))
	})
	return all
}
