package experiment

import (
	"cmp"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// firstQueryClient is above the numbers of the clients that send other requests.
const firstQueryClient = 1 << 15

// domainFactor returns the factor on the rate of requests of a domain's clients.
func (s *simulation) domainFactor(domain int) float64 {
	return cmp.Or(s.domainFactors[domain], 1)
}

// isPressed reports whether clients send more requests than usual.
func (s *simulation) isPressed() bool {
	return s.loadFactor > 1 || s.queryFactor > 1 || len(s.domainFactors) > 0
}

// scheduleQuery schedules the queries of a domain as a Poisson process. Each comes from a new client.
func (s *simulation) scheduleQuery(domain, number int) {
	rate := s.size.QueriesPerSecond * s.loadFactor * s.queryFactor * s.domainFactor(domain)
	interval := clock.Millis(1000 * s.random.ExpFloat64() / rate)
	s.schedule(interval, func() {
		c := &client{sim: s, domain: domain, number: number, isRepeatable: true}
		c.startRequest()
		s.scheduleQuery(domain, number+1)
	})
}

// injectLoad starts a change of the load, or of what VMs learn about it, and schedules its end. It reports
// whether the fault is one.
func (s *simulation) injectLoad(f Fault) bool {
	switch f.Kind {
	case LoadBurst:
		s.loadFactor = 1 + f.Share
		s.schedule(f.For, func() { s.loadFactor = 1 })
	case QueryBurst:
		s.queryFactor = 1 + f.Share
		s.schedule(f.For, func() { s.queryFactor = 1 })
	case DomainBurst:
		s.domainFactors[f.Domain] = 1 + f.Share
		s.schedule(f.For, func() { delete(s.domainFactors, f.Domain) })
	case StoreDown:
		s.isStoreDown = true
		s.schedule(f.For, func() { s.isStoreDown = false; s.publish() })
	case LoseMessages:
		s.messageLossRate = f.Share
		s.schedule(f.For, func() { s.messageLossRate = 0 })
	default:
		return false
	}
	return true
}

// Ticks between two reports of load, and the number of VMs that get each, as in the daemon.
const (
	localReportTicks  = 2
	remoteReportTicks = 4
	reportRecipients  = 3
)

// reportLoad tells some other VMs what this VM, and now and then what its failure domain has under way.
func (v *vm) reportLoad() {
	s := v.sim
	if !s.size.SharesLoad {
		return
	}
	v.ticks++
	if v.ticks%localReportTicks == 0 {
		report := v.engine.TakeLoadReport(s.now)
		for range reportRecipients {
			v.sendLoad(s.randomVM(v.domain), report)
		}
	}
	if v.ticks%remoteReportTicks == 0 && s.size.Domains > 1 {
		other := (v.domain + 1 + s.random.IntN(s.size.Domains-1)) % s.size.Domains
		v.sendLoad(s.randomVM(other), v.engine.TakeDomainReport(s.now))
	}
}

// randomVM returns one of the VMs of a domain.
func (s *simulation) randomVM(domain int) *vm {
	return s.vms[domain*s.size.VMs+s.random.IntN(s.size.VMs)]
}

// sendLoad sends a report of load to another VM.
func (v *vm) sendLoad(sibling *vm, report load.Report) {
	s := v.sim
	if sibling == v || s.isLost(v.domain, sibling.domain) || s.random.Float64() < s.messageLossRate {
		return
	}
	s.schedule(latencyBetween(v.domain, sibling.domain), func() {
		sibling.do(func() { sibling.engine.ReceiveLoad(s.now, v.peerAddress(), domainName(v.domain), report) })
	})
}
