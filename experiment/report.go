package experiment

import (
	"slices"

	"github.com/almondflow/almondflow/clock"
)

// defaultLeaveTime is how long after a target is lost its flows are reset at the latest, so that no repeatable
// request that is sent later waits there until its deadline.
const defaultLeaveTime = clock.Second

// lateCredit is the credit for a response after the target latency; one in time counts 1.
const lateCredit = 0.3

// Report holds the results of a run.
type Report struct {
	Pattern           string       `json:"pattern"`
	Policy            string       `json:"policy"`
	Seed              uint64       `json:"seed"`
	Requests          int          `json:"asked"`         // finished requests
	Holds             int          `json:"holds"`         // requests of the more urgent route
	HoldsInTime       int          `json:"holds_in_time"` // holds answered in time
	InTime            int          `json:"in_time"`       // requests answered within the latency target
	Late              int          `json:"late"`          // requests answered after the latency target
	Failed            int          `json:"failed"`
	Credit            float64      `json:"credit"`                  // mean credit per request; 1 if all were answered in time
	P99               clock.Millis `json:"p99_ms"`                  // 99th percentile latency of answered requests
	Resets            int          `json:"resets"`                  // of open flows
	UnexplainedResets int          `json:"broken"`                  // resets of open flows that no fault explains
	FirstUnexplained  string       `json:"first_broken,omitempty"`  // what the first of them was
	RefutedResets     int          `json:"refuted"`                 // resets of flows that a living target has, against what the VM saw
	FirstRefuted      string       `json:"first_refuted,omitempty"` // what the first of them was
	Refused           int          `json:"refused"`                 // openings reset for lack of a target or because of overload
	LateFailures      int          `json:"late_failures"`           // repeatable requests that failed at a target lost long before
	RemoteOpenings    int          `json:"remote_openings"`         // openings that VMs sent to another domain, but for those that CutVMs hit
	Shed              int          `json:"shed"`                    // requests rejected by a target with a full queue
	ShedBesideRoom    int          `json:"shed_beside_room"`        // those of them while another target had a free slot
	Pressed           Pressed      `json:"pressed"`
	Dropped           int          `json:"dropped"`          // packets that an entry VM dropped
	DrainedOpenings   int          `json:"drained_openings"` // flows that targets of a drained domain accepted, once all VMs knew
	Imbalance         float64      `json:"imbalance"`        // requests of the busiest target over the mean
	latencies         []clock.Millis
}

// outcome is how a request ended.
type outcome struct {
	latency   clock.Millis
	isServed  bool
	isInTime  bool
	isHold    bool
	isPressed bool // it was sent under a load that the pattern adds
	isEarlier bool // it was sent before that load and ended under it
}

// record adds the outcome of a request.
func (r *Report) record(o outcome) {
	r.Requests++
	if o.isPressed {
		r.Pressed.record(o)
	}
	if o.isEarlier && o.isServed {
		r.Pressed.EarlierServed++
	}
	if o.isHold {
		r.Holds++
	}
	if o.isHold && o.isInTime {
		r.HoldsInTime++
	}
	switch {
	case !o.isServed:
		r.Failed++
	case o.isInTime:
		r.InTime++
	default:
		r.Late++
	}
	if o.isServed {
		r.latencies = append(r.latencies, o.latency)
	}
}

// Pressed holds the results of the requests that were sent under a load that the pattern adds.
type Pressed struct {
	Holds        int `json:"holds"`
	HoldsServed  int `json:"holds_served"`
	HoldsInTime  int `json:"holds_in_time"`
	Others       int `json:"others"` // less urgent requests
	OthersServed int `json:"others_served"`
	// EarlierServed is the number of requests sent before the load that were served under it.
	EarlierServed int `json:"earlier_served"`
}

func (p *Pressed) record(o outcome) {
	if !o.isHold {
		p.Others++
		if o.isServed {
			p.OthersServed++
		}
		return
	}
	p.Holds++
	if o.isServed {
		p.HoldsServed++
	}
	if o.isInTime {
		p.HoldsInTime++
	}
}

// close computes the credit, the latency percentile and the imbalance.
func (r *Report) close(targets []*target) {
	if r.Requests > 0 {
		r.Credit = (float64(r.InTime) + lateCredit*float64(r.Late)) / float64(r.Requests)
	}
	slices.Sort(r.latencies)
	if n := len(r.latencies); n > 0 {
		r.P99 = r.latencies[n*99/100]
	}
	total, highest, usedTargets := 0, 0, 0
	for _, t := range targets {
		if t.requests > 0 {
			total += t.requests
			highest = max(highest, t.requests)
			usedTargets++
		}
	}
	if total > 0 {
		r.Imbalance = float64(highest) * float64(usedTargets) / float64(total)
	}
}
