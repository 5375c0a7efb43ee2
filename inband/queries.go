package inband

import (
	"slices"
	"strings"
)

// Health is what an entry VM observes of a target.
type Health struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Domain    string `json:"domain"`
	State     string `json:"mark"`
	Flows     int    `json:"flows"`
	Busy      int    `json:"busy"`   // flows that wait for an answer
	Timeouts  int    `json:"silent"` // openings and flows that timed out since the target last answered
	Reporters int    `json:"rumors"` // VMs that have reported timeouts since then
	// AnswersProbes is set once this start of the target has accepted a connection. Until then refusals
	// and silence show nothing.
	AnswersProbes bool         `json:"answers_probes"`
	Probe         ProbeOutcome `json:"probe,omitempty"` // what the newest probe of the suspected target showed
}

// KnowsTag reports whether a tag belongs to a known target.
func (e *Engine) KnowsTag(tag Tag) bool { return e.byTag[tag] != nil }

// Flows returns the number of tracked flows.
func (e *Engine) Flows() int { return e.flows.len() }

// RemoteOpenings returns the number of new flows that were sent to targets of other failure domains.
func (e *Engine) RemoteOpenings() int { return e.remoteOpenings }

// Targets returns the observed health of all targets, ordered by id.
func (e *Engine) Targets() []Health {
	all := make([]Health, 0, len(e.byID))
	for id, b := range e.byID {
		all = append(all, Health{
			ID:            id,
			Service:       b.target.Service,
			Domain:        b.target.Domain,
			State:         b.target.State.String(),
			Flows:         b.flows,
			Busy:          b.busy,
			Timeouts:      b.evidence.openings + b.evidence.data,
			Reporters:     b.evidence.reports.count,
			AnswersProbes: b.probe.hasAnswered,
			Probe:         b.probe.outcome,
		})
	}
	slices.SortFunc(all, func(a, b Health) int { return strings.Compare(a.ID, b.ID) })
	return all
}
