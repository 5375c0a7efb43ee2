// Package shedding tells requests that a full target sheds from those that a failing target fails. To an entry
// VM both look alike: a short answer, or none. What a full target sheds says nothing against it. Taken for
// failures, it would drive the load of each full target on to the next one.
package shedding

import "github.com/almondflow/almondflow/load"

// fullLoad is the number of requests under way for each slot from which a target may shed requests: one waits for
// every two slots. Fewer may be requests that are on their way.
const fullLoad = 1.5

// Target is what is believed of a target when one of its requests has failed.
type Target struct {
	Work  load.Work
	Slots int
	Pool  load.DomainPool // the targets of its service in its failure domain
}

// MayShedByError reports whether the target may have shed a request that it answered with an error: it has a queue,
// or its slots are occupied while the whole pool has one, as news of single targets is late.
func (t *Target) MayShedByError() bool {
	return t.Work.Busy >= fullLoad*float64(t.Slots) || t.MayShedBySilence()
}

// MayShedBySilence reports whether the target may have shed a request that it did not answer. Requests that are never
// answered count as its work, so this takes a queue at the whole pool.
func (t *Target) MayShedBySilence() bool {
	return t.Work.Busy >= float64(t.Slots) && t.Pool.Work.Busy >= fullLoad*float64(t.Pool.Slots)
}
