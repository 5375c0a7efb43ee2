package entry

import (
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/operator"
)

// HandleEvent handles an event of the membership machine. It implements peers.Observer.
func (c *controlLoop) HandleEvent(e member.Event) {
	c.controller.HandleEvent(e)
	switch e.Kind {
	case member.StatusChanged:
		c.daemon.trail.Add(operator.ChangedPeer, c.vmName(e.Member), e.Before.String(), e.After.String(), "membership")
	case member.Refuted:
		c.daemon.trail.Add(operator.ChangedPeer, c.daemon.config.Name, "suspected", "refuted", "membership")
	case member.Paused, member.Resumed, member.Established:
		c.daemon.trail.Add(operator.ChangedState, c.daemon.config.Name, "", e.Kind.String(), "membership")
	default:
	}
}

// vmName returns the name of an entry VM for the audit trail.
func (c *controlLoop) vmName(id fleet.ID) string {
	if list := c.daemon.store.List(); list != nil {
		if vm, ok := list.Find(id); ok {
			return vm.Name()
		}
	}
	return "unlisted entry VM"
}
