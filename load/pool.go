package load

import "github.com/almondflow/almondflow/clock"

// DomainPoolID names the targets of one service in one failure domain.
type DomainPoolID struct {
	Service string `json:"service"`
	Domain  string `json:"domain"`
}

// DomainPool is what all entry VMs together have under way at the targets of one service in one failure domain.
type DomainPool struct {
	ID      DomainPoolID `json:"id"`
	Targets int          `json:"targets"` // that accept new flows
	Slots   int          `json:"slots"`   // of these targets
	Work    Work         `json:"work"`
	Age     clock.Millis `json:"age_ms"` // of the news that it is made from
}

// ResponseTime returns the expected time in milliseconds until one more request is answered, if requests
// are spread evenly over the pool's targets. It is zero while no request finishes.
func (p DomainPool) ResponseTime() float64 {
	if p.Targets == 0 {
		return 0
	}
	return p.Work.Scale(1 / float64(p.Targets)).ResponseTime(max(1, p.Slots/p.Targets))
}
