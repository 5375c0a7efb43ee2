package inband

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// loadState holds what this VM knows of the work of others, and which targets have work of its own.
type loadState struct {
	isShared   bool
	active     []*Backend // targets with work of this VM
	reported   []*Backend // targets of which other VMs reported work
	heard      load.Heard
	news       *load.News
	pools      map[uint32]*domainPool // by the hash of the ID
	ownDomain  uint32                 // hash of the name
	windowAt   clock.Millis           // when the window of the meters began
	resumedAt  clock.Millis           // as of the last update
	order      []*domainPool          // the same, ordered by name
	isIndexed  bool                   // the two are as the targets are now
	countIndex int                    // in order, of the pool that was counted last
}

func newLoadState(options *Options) *loadState {
	return &loadState{isShared: options.SharesLoad, news: load.NewNews(), ownDomain: load.HashDomain(options.Domain)}
}

// track lists a target as one with work of this VM.
func (s *loadState) track(b *Backend) {
	if s.isShared && !b.isActive {
		b.isActive = true
		s.active = append(s.active, b)
	}
}

// forget forgets what was heard of other VMs.
func (s *loadState) forget() {
	s.heard.Forget()
	s.news.Forget()
}

// index makes the pools known by their hashes, if any were added since the last time.
func (s *loadState) index(pools map[string]*pool) {
	if s.isIndexed {
		return
	}
	s.isIndexed = true
	s.pools, s.order = map[uint32]*domainPool{}, nil
	for _, p := range pools {
		for _, d := range p.domainPools {
			s.pools[d.id.Hash()] = d
			s.order = append(s.order, d)
		}
	}
	slices.SortFunc(s.order, func(a, b *domainPool) int {
		return cmp.Or(cmp.Compare(a.id.Service, b.id.Service), cmp.Compare(a.id.Domain, b.id.Domain))
	})
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
		if p.Source != e.load.ownDomain && (isLocal || p.Source == source) {
			e.load.news.Add(now, p)
		}
	}
	if isLocal {
		e.load.heard.Add(now, from, report)
	}
}

// ForgetLoad forgets what other VMs reported. It is called after a pause, as their reports may be older than
// the clock shows.
func (e *Engine) ForgetLoad() { e.load.forget() }

// LoadReporters returns the number of VMs whose reports count.
func (e *Engine) LoadReporters(now clock.Millis) int { return e.load.heard.VMs(now) }

// LoadAge returns the mean age of their reports.
func (e *Engine) LoadAge(now clock.Millis) clock.Millis { return e.load.heard.Age(now) }

// LoadPools returns the work at all pools by failure domain, ordered by name, or nothing if VMs do not share
// their load.
func (e *Engine) LoadPools() []load.Pool {
	if !e.load.isShared {
		return nil
	}
	all := make([]load.Pool, 0, len(e.load.order))
	for _, d := range e.load.order {
		all = append(all, d.summary())
	}
	return all
}
