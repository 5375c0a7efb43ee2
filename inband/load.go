package inband

import (
	"net/netip"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/load"
)

// TakeLoadReport returns the report of this VM's work for the VMs of its own failure domain.
func (e *Engine) TakeLoadReport(_ clock.Millis) load.Report { return load.Report{} }

// ReceiveLoad takes in the report of a VM of the given failure domain.
func (e *Engine) ReceiveLoad(_ clock.Millis, _ netip.AddrPort, _ string, _ load.Report) {}

// work returns the work at the target: this VM's own, and what the other VMs are believed to have.
func (b *Backend) work() load.Work {
	return load.Work{Busy: float64(b.busy), Flows: float64(b.flows)}
}

// domains returns the work at the pool's targets, by failure domain.
func (p *pool) domains() []load.Pool {
	var all []load.Pool
	for _, targets := range [][]*Backend{p.local, p.remote} {
		for _, b := range targets {
			all = addToDomain(all, b)
		}
	}
	return all
}

func addToDomain(all []load.Pool, b *Backend) []load.Pool {
	for i := range all {
		if all[i].ID.Domain == b.target.Domain {
			all[i].Targets++
			all[i].Slots += b.target.Slots
			all[i].Work = all[i].Work.Add(b.work())
			return all
		}
	}
	id := load.PoolID{Service: b.target.Service, Domain: b.target.Domain}
	return append(all, load.Pool{ID: id, Targets: 1, Slots: b.target.Slots, Work: b.work()})
}
