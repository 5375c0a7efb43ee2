package experiment

import "github.com/almondflow/almondflow/clock"

// FaultKind names a kind of fault or change of load.
type FaultKind string

// Kinds of faults. Each ends after the duration of the fault.
const (
	PartitionDomain     FaultKind = "cut_domain"       // one domain and the others cannot reach each other
	PartitionOneWay     FaultKind = "cut_one_way"      // packets from VMs of other domains into one domain are lost
	DrainDomain         FaultKind = "drain_domain"     // the operator drains one domain
	CrashTargets        FaultKind = "dark_targets"     // targets stop permanently and leave the store when the fault ends
	ReuseAddresses      FaultKind = "reuse_targets"    // as CrashTargets, and new targets start at once to take their addresses
	SlowTargets         FaultKind = "grey_targets"     // targets take ten times as long to process a request
	FailTargets         FaultKind = "fail_targets"     // targets answer half of their requests with an error
	UnresponsiveTargets FaultKind = "mute_targets"     // targets process half of their requests without answering
	FlapTargets         FaultKind = "flap_targets"     // targets alternate between down and up every half second
	DrainTargets        FaultKind = "drain_targets"    // targets are drained and replaced by new ones
	CutVMs              FaultKind = "cut_vms"          // VMs do not reach the targets of their own domain
	KillVMs             FaultKind = "kill_vms"         // VMs crash, and start again without state
	PauseVMs            FaultKind = "freeze_vms"       // VMs are suspended, and then process what arrived meanwhile
	RestartVMs          FaultKind = "restart_vms"      // VMs shut down gracefully, and start again without state
	DeafClients         FaultKind = "deaf_clients"     // what targets send to a share of the clients is lost
	MuteClients         FaultKind = "mute_clients"     // what a share of the clients sends is lost
	HangTargets         FaultKind = "hang_targets"     // targets accept connections and answer no packet
	FullTargets         FaultKind = "full_targets"     // targets answer no openings and serve their flows
	LateProbes          FaultKind = "late_probes"      // targets take long to accept connections
	LoseProbes          FaultKind = "lose_probes"      // connections to targets time out
	CutLinks            FaultKind = "cut_links"        // targets are out of reach of one VM of their domain each
	RestartTargets      FaultKind = "restart_targets"  // targets stop, and start again under their id when the fault ends
	RestartWithoutPort  FaultKind = "restart_portless" // as RestartTargets, and the new start refuses connections
	RepeatMessages      FaultKind = "repeat_messages"  // reports of probes arrive twice
	LosePackets         FaultKind = "lose_packets"     // a share of all packets is lost
	LoadBurst           FaultKind = "burst"            // clients send more requests
	QueryBurst          FaultKind = "query_burst"      // clients send more queries, which are less urgent
	DomainBurst         FaultKind = "domain_burst"     // clients of one domain send more requests
	StoreDown           FaultKind = "store_down"       // VMs do not learn of changed targets
	LoseMessages        FaultKind = "lose_messages"    // a share of the messages between VMs is lost
	ShiftClients        FaultKind = "shift"            // clients of one domain enter through another
)

// Fault is a fault or change of load in a pattern.
type Fault struct {
	Kind   FaultKind
	At     clock.Millis // start
	For    clock.Millis // duration
	Domain int          // affected domain, for partitions, DrainDomain and ShiftClients; that of a single client
	Share  float64      // share of targets, VMs, clients or packets affected, or of load added; of clients, zero is one
}

// Pattern is a named sequence of faults.
type Pattern struct {
	Name        string
	Description string
	Faults      []Fault
}

// Patterns returns all patterns, beginning with the one without faults.
func Patterns() []Pattern {
	const at = 5 * clock.Second
	return []Pattern{
		{"calm", "constant load without faults", nil},
		{"burst", "50% more requests", []Fault{{Kind: LoadBurst, At: at, For: 5 * clock.Second, Share: 0.5}}},
		{"wave", "two peaks with 70% more requests", []Fault{
			{Kind: LoadBurst, At: at, For: 2 * clock.Second, Share: 0.7},
			{Kind: LoadBurst, At: at + 4*clock.Second, For: 2 * clock.Second, Share: 0.7},
		}},
		{"overload", "seven times as many requests, which exceeds the capacity of the targets", []Fault{{Kind: LoadBurst, At: at, For: 5 * clock.Second, Share: 6}}},
		{"shift", "clients of one domain enter through the next", []Fault{{Kind: ShiftClients, At: at, For: 5 * clock.Second}}},
		{"release", "a third of the targets is replaced gracefully", []Fault{{Kind: DrainTargets, At: at, For: 5 * clock.Second, Share: 0.34}}},
		{"domain_drain", "one domain is drained and taken back", []Fault{{Kind: DrainDomain, At: at, For: 5 * clock.Second, Domain: 1}}},
		{"zone_cut", "one domain is partitioned from the others", []Fault{{Kind: PartitionDomain, At: at, For: 5 * clock.Second, Domain: 1}}},
		{"one_way_cut", "VMs of other domains cannot reach the targets of one domain", []Fault{{Kind: PartitionOneWay, At: at, For: 5 * clock.Second, Domain: 1}}},
		{"dark_targets", "an eighth of the targets crashes", []Fault{{Kind: CrashTargets, At: at, For: 3600, Share: 0.125}}},
		{"reused_addresses", "an eighth of the targets crashes and new targets get their addresses", []Fault{{Kind: ReuseAddresses, At: at, For: 3600, Share: 0.125}}},
		{"grey_targets", "an eighth of the targets is ten times slower", []Fault{{Kind: SlowTargets, At: at, For: 5 * clock.Second, Share: 0.125}}},
		{"failing_targets", "an eighth of the targets fails half of its requests", []Fault{{Kind: FailTargets, At: at, For: 6 * clock.Second, Share: 0.125}}},
		{"mute_targets", "an eighth of the targets does not answer half of its requests", []Fault{{Kind: UnresponsiveTargets, At: at, For: 6 * clock.Second, Share: 0.125}}},
		{"flapping_targets", "an eighth of the targets alternates between down and up", []Fault{{Kind: FlapTargets, At: at, For: 5 * clock.Second, Share: 0.125}}},
		{"herd_kill", "most VMs crash and restart together", []Fault{{Kind: KillVMs, At: at, For: 700, Share: 0.55}}},
		{"kill_all", "all VMs crash and restart together", []Fault{{Kind: KillVMs, At: at, For: 700, Share: 1}}},
		{"restart", "a quarter of the VMs is restarted gracefully", []Fault{{Kind: RestartVMs, At: at, For: 2 * clock.Second, Share: 0.25}}},
		{"deaf_clients", "an eighth of the clients receives nothing for a while", []Fault{{Kind: DeafClients, At: at, For: 230, Share: 0.125}}},
		{"mute_clients", "nothing that an eighth of the clients sends arrives for a while", []Fault{{Kind: MuteClients, At: at, For: 230, Share: 0.125}}},
		{"freeze", "a VM is suspended and resumes", []Fault{{Kind: PauseVMs, At: at, For: 4 * clock.Second, Share: 0.13}}},
		{"link_loss", "2% of all packets are lost", []Fault{{Kind: LosePackets, At: at, For: 5 * clock.Second, Share: 0.02}}},
		{"cut_and_dark", "targets crash just before one domain is partitioned", []Fault{
			{Kind: CrashTargets, At: at - 200, For: 3600, Share: 0.125},
			{Kind: PartitionDomain, At: at, For: 5 * clock.Second, Domain: 1},
		}},
	}
}

// Size is the size and load of a simulated deployment. The counts of VMs, targets and feeds
// and the rate of holds are per failure domain.
type Size struct {
	Domains          int
	VMs              int
	Targets          int
	Feeds            int               // clients that send repeatable requests on one long-lived flow
	FeedInterval     clock.Millis      // mean time between requests of a feed
	HoldsPerSecond   float64           // rate of non-repeatable requests, each on its own flow
	QueriesPerSecond float64           // rate of repeatable requests, each on its own flow
	Bookings         int               // clients that send non-repeatable requests on one long-lived flow
	SharedClients    bool              // holds are sent by the clients that have feeds
	OneAddress       bool              // all clients of a domain have the same address, as behind address translation
	EndsShedFlows    bool              // clients end the flow of a request that its target rejects; otherwise they leave it
	NoProbes         bool              // targets refuse connections from the start
	NoLateGuard      bool              // VMs take a probe for silent though they noticed late that it timed out
	Synchronized     bool              // clients that keep their flow send their requests at nearly the same times
	RotationLag      clock.Millis      // how long the router keeps sending packets to a VM that stopped; 1 s if zero
	Deadline         clock.Millis      // when a client gives up a request; 1 s if zero
	LeaveTime        clock.Millis      // how long after the loss of a target its flows are reset at the latest; 1 s if zero
	TargetLatency    clock.Millis      // in which clients want the answer; 100 ms if zero
	ProcessingTime   clock.Millis      // mean time that a target takes for a request
	SharesLoad       bool              // VMs tell each other what they have under way
	RefusesByUrgency bool              // VMs refuse less urgent openings by that
	Duration         clock.Millis      // length of the run in virtual time
	Trace            func(line string) // gets what happens, if set
}

// DefaultSize returns a size similar to the users' smaller deployment.
func DefaultSize() Size {
	return Size{
		Domains: 4, VMs: 2, Targets: 4, Feeds: 75, FeedInterval: clock.Second, HoldsPerSecond: 21,
		ProcessingTime: 16, Duration: 15 * clock.Second,
	}
}
