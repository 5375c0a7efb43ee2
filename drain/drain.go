// Package drain keeps the failure domains that the operator drains. New flows avoid the targets of a drained
// domain; its open flows stay.
package drain

import (
	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
)

// Mark is the newest known change of one domain's drain: its begin, or its end if HasEnded is set. An end that a
// sibling tells has been known for a while, so that siblings that tell each other of it forget it.
type Mark struct {
	Domain   string          `json:"domain"`
	Revision inband.Revision `json:"revision"` // of the change in the store
	HasEnded bool            `json:"has_ended,omitempty"`
	KnownMS  clock.Millis    `json:"known_ms,omitempty"` // since when the end was known when it was sent
}
