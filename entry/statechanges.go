package entry

import (
	"strconv"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/table"
)

// recordStateChanges records the hosts whose state differs between two versions of the tables
// in the audit trail. The state before a host was added and after it was removed is empty.
func recordStateChanges(trail *operator.AuditTrail, before, after *table.Snapshot) {
	if before == nil {
		return
	}
	source := "tables version " + strconv.FormatUint(after.Version(), 10)
	present := make(map[flow.TargetID]bool)
	for _, p := range after.Pools() {
		for i := range p.Hosts() {
			h := &p.Hosts()[i]
			present[h.ID()] = true
			previous, existed := before.Host(h.ID())
			switch {
			case !existed:
				trail.Add(operator.ChangedMark, hostPath(p, h), "", h.State().String(), source)
			case previous.State() != h.State():
				trail.Add(operator.ChangedMark, hostPath(p, h), previous.State().String(), h.State().String(), source)
			}
		}
	}
	for _, p := range before.Pools() {
		for i := range p.Hosts() {
			if h := &p.Hosts()[i]; !present[h.ID()] {
				trail.Add(operator.ChangedMark, hostPath(p, h), h.State().String(), "", source)
			}
		}
	}
}

// hostPath returns the subject of an audit record about a host.
func hostPath(p *table.Pool, h *table.Host) string { return p.Name() + "/" + h.Name() }
