package load

import "github.com/almondflow/almondflow/clock"

// Report is what an entry VM tells others of the work that it knows of.
type Report struct {
	Targets []TargetWork // of the sender's own failure domain, most work first
	Pools   []PoolWork
}

// TargetWork is the work of the sender at one target.
type TargetWork struct {
	Tag   uint32 // of the target, as carried in packets
	Start uint8  // low bits of the target's start time, which tell restarts apart
	Work  Work
}

// PoolWork is the work of the entry VMs of one failure domain at the targets of a service in a failure domain.
type PoolWork struct {
	ID     PoolID
	Source string // failure domain of the VMs
	Work   Work
	Age    clock.Millis
}
