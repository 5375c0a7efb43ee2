package inband

import "github.com/almondflow/almondflow/load"

// markBusy records that the flow waits for an answer.
func (e *Engine) markBusy(f *flow) {
	f.isBusy = true
	f.backend.busy++
	e.startMeter(f)
}

// markIdle records that the flow is not waiting for an answer.
func (e *Engine) markIdle(f *flow) {
	e.stopMeter(f)
	if f.isBusy {
		f.isBusy = false
		f.backend.busy--
	}
}

// markAnswered records that the flow's request was answered.
func (e *Engine) markAnswered(f *flow) {
	if f.isBusy && f.phase == open {
		f.backend.meter.AddFinished()
	}
	e.markIdle(f)
}

// startMeter counts the flow's request in the measured work of its target.
func (e *Engine) startMeter(f *flow) {
	if f.isMetered {
		return
	}
	f.isMetered = true
	f.backend.meter.Begin(e.activeAt)
	e.load.track(f.backend)
}

// resumeMeter counts a request again whose client was taken to have given up, as a packet of it shows that it
// waits.
func (e *Engine) resumeMeter(f *flow) {
	if f.isBusy {
		e.startMeter(f)
	}
}

// stopMeter ends the flow's request in the measured work of its target.
func (e *Engine) stopMeter(f *flow) {
	if f.isMetered {
		f.isMetered = false
		f.backend.meter.End(e.activeAt)
	}
}

// ownWork returns the work that this VM has at the target now.
func (b *Backend) ownWork() load.Work {
	work := b.meter.Average(b.flows)
	work.Busy = float64(b.meter.Busy())
	return work
}

// work returns the work at the target: this VM's own, and what the other VMs are believed to have.
func (b *Backend) work() load.Work {
	d := b.domainPool
	if !d.hasWork {
		return b.pool.load.quiet.At(b.ownWork(), b.heard)
	}
	return d.estimate.At(b.ownWork(), b.heard)
}

// domains returns the work at the pool's targets, by failure domain.
func (p *pool) domains() []load.DomainPool {
	all := make([]load.DomainPool, 0, len(p.domainPools))
	for _, d := range p.domainPools {
		all = append(all, p.load.summary(d))
	}
	return all
}
