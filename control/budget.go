package control

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/core"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/steer"
)

// BudgetOf lets the core's messages without a packet take from the budget of control
// traffic. Votes come before repair, because a client waits for them.
func BudgetOf(budget *member.Budget) core.Budget {
	return func(now clock.Millis, kind steer.Kind, bytes int) bool {
		return budget.Allow(now, classOf(kind), bytes)
	}
}

func classOf(kind steer.Kind) member.Class {
	switch kind {
	case steer.Prepare, steer.Promise, steer.Reject, steer.Settled:
		return member.ClassSuspicion
	default:
		return member.ClassRepair
	}
}
