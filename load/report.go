package load

import "github.com/almondflow/almondflow/clock"

// Report is what an entry VM tells others of the work that it knows of.
type Report struct {
	Targets []TargetWork // of the sender alone, at targets of its failure domain, most work first
	Remote  []PoolWork   // of the sender alone, at pools in other failure domains and targets that did not fit
	Pools   []PoolNews   // of the VMs of whole failure domains
}

// TargetWork is the work of one VM at one target.
type TargetWork struct {
	Tag   uint32 // of the target, as packets carry it
	Start uint8  // bits of a hash of the target's start time, which tell its restarts apart
	Work  Work
	Pool  uint32 // hash of the pool's ID, or zero if the work is no part of its sum; not encoded
}

// PoolWork is the work of one VM at the targets of a pool in one failure domain, or at some of them.
type PoolWork struct {
	Pool uint32 // hash of the pool's ID
	Work Work
}

// PoolNews is the work of all VMs of a failure domain at the targets of a pool in one failure domain.
type PoolNews struct {
	Pool   uint32 // hash of the pool's ID
	Source uint32 // hash of the name of the VMs' failure domain
	Work   Work
	Age    clock.Millis
}
