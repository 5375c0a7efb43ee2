package experiment_test

import (
	"cmp"
	"flag"
	"fmt"
	"testing"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/experiment"
	"github.com/almondflow/almondflow/inband"
)

// meeting is a world in which faults meet that a VM could mistake for the death of a target or for a cut.
type meeting struct {
	name     string
	seeds    uint64
	size     func(*experiment.Size)
	faults   func(seed clock.Millis) []experiment.Fault
	isTimely bool // no request waits for a lost target until its deadline
	isLocal  bool // no VM that reaches its domain sends new flows to another
	isMixed  bool // with every second seed targets accept no connections, and clients have an address each
}

// meetingSize returns the size that the worlds vary. By the sixth second VMs know which targets accept
// connections.
func meetingSize() experiment.Size {
	return experiment.Size{
		Domains: 1, VMs: 3, Targets: 4, Feeds: 24, FeedInterval: clock.Second, ProcessingTime: 16,
		RotationLag: 300, Deadline: clock.Second, Duration: 12 * clock.Second,
	}
}

// otherEntry makes VMs of one domain carry flows of targets of the other, once clients are shifted.
func otherEntry(s *experiment.Size) { s.Domains, s.VMs, s.FeedInterval = 2, 2, 1500 }

var meetingWorlds = []meeting{
	{
		name: "a link of one VM fails", seeds: 20,
		faults: func(clock.Millis) []experiment.Fault {
			return []experiment.Fault{{Kind: experiment.CutLinks, At: 6000, For: 3000, Share: 0.25}}
		},
	},
	{
		name: "a link of one VM fails and messages come twice", seeds: 20,
		faults: func(clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.CutLinks, At: 6000, For: 3000, Share: 0.25},
				{Kind: experiment.RepeatMessages, At: 6000, For: 3000},
			}
		},
	},
	{
		name: "a link of one VM fails after clients were silent", seeds: 60,
		size: func(s *experiment.Size) { s.FeedInterval, s.Feeds = 8*clock.Second, 40 },
		faults: func(clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.DeafClients, At: 6000, For: 1300, Share: 0.5},
				{Kind: experiment.CutLinks, At: 7700, For: 1500, Share: 1},
			}
		},
	},
	{
		name: "a link of one VM fails long after clients were silent", seeds: 100,
		size: func(s *experiment.Size) { s.VMs, s.Feeds, s.FeedInterval, s.Synchronized = 6, 60, 6*clock.Second, true },
		faults: func(clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.DeafClients, At: 5900, For: 2100, Share: 0.5},
				{Kind: experiment.KillVMs, At: 6150, For: 5000, Share: 0.4},
				{Kind: experiment.PauseVMs, At: 6160, For: 4340, Share: 0.7},
				{Kind: experiment.CutLinks, At: 10300, For: 1400, Share: 1},
			}
		},
	},
	{
		name: "a link of one VM fails while another is frozen", seeds: 150,
		size: func(s *experiment.Size) {
			s.Feeds, s.FeedInterval, s.Synchronized, s.ProcessingTime, s.RotationLag, s.Deadline = 16, 380, true, 25, 590, 2000
		},
		faults: func(seed clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.PauseVMs, At: 6460 + seed, For: 4000, Share: 0.34},
				{Kind: experiment.CutLinks, At: 6860 + seed, For: 1500, Share: 1},
			}
		},
	},
	{
		name: "VMs stand still while probes are out", seeds: 60,
		size: func(s *experiment.Size) { s.NoLateGuard, s.Synchronized = true, true },
		faults: func(seed clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.LateProbes, At: 5000, For: 7000, Share: 1},
				{Kind: experiment.DeafClients, At: 7000, For: 500, Share: 0.5},
				{Kind: experiment.PauseVMs, At: 7200 + 5*seed, For: 700, Share: 0.67},
			}
		},
	},
	{
		name: "targets flap", seeds: 60,
		size: func(s *experiment.Size) { s.FeedInterval, s.ProcessingTime = 400, 40 },
		faults: func(clock.Millis) []experiment.Fault {
			return []experiment.Fault{{Kind: experiment.FlapTargets, At: 6000, For: 4000, Share: 0.5}}
		},
	},
	{
		name: "targets flap while flows move", seeds: 100,
		size: func(s *experiment.Size) { s.FeedInterval, s.Feeds = 400, 40 },
		faults: func(seed clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.FlapTargets, At: 6000, For: 3000, Share: 0.5},
				{Kind: experiment.RestartVMs, At: 6500 + 5*seed, For: 500, Share: 0.34},
				{Kind: experiment.RestartVMs, At: 7500 + 5*seed, For: 500, Share: 0.34},
			}
		},
	},
	{
		name: "targets start again, slow at first, and flows move", seeds: 100,
		size: func(s *experiment.Size) { s.VMs, s.Feeds, s.FeedInterval = 4, 40, 600 },
		faults: func(seed clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.StoreDown, At: 5000, For: 5000},
				{Kind: experiment.RestartTargets, At: 6000, For: 300, Share: 0.5},
				{Kind: experiment.SlowTargets, At: 6300, For: 3000, Share: 1},
				{Kind: experiment.RestartVMs, At: 6600 + 5*seed, For: 1000, Share: 0.5},
			}
		},
	},
	{
		name: "targets start again without a port, and clients are silent later", seeds: 20,
		faults: func(clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.RestartWithoutPort, At: 5500, For: 300, Share: 0.5},
				{Kind: experiment.DeafClients, At: 10000, For: 700, Share: 0.5},
			}
		},
	},
	{
		name: "the link of a VM to its domain fails", seeds: 20,
		size: func(s *experiment.Size) {
			s.Domains, s.Feeds, s.FeedInterval, s.HoldsPerSecond = 2, 8, 6*clock.Second, 4
		},
		faults: func(clock.Millis) []experiment.Fault {
			return []experiment.Fault{{Kind: experiment.CutVMs, At: 6000, For: 4000, Share: 0.17}}
		},
		isLocal: true,
	},
	{
		name: "a target crashes that most VMs have just heard", seeds: 60,
		size: func(s *experiment.Size) { s.VMs, s.Feeds, s.LeaveTime = 6, 12, 1 },
		faults: func(clock.Millis) []experiment.Fault {
			return []experiment.Fault{{Kind: experiment.CrashTargets, At: 6000, For: 5000, Share: 0.25}}
		},
		isTimely: true,
	},
	{
		name: "a domain with flows of another's VMs is cut off", seeds: 30,
		size: otherEntry,
		faults: func(clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.ShiftClients, At: 3000, For: 9000, Domain: 1},
				{Kind: experiment.PartitionDomain, At: 6000, For: 3000, Domain: 1},
			}
		},
		isTimely: true,
	},
	{
		// review/3, with other times and other places of the client's flows.
		name: "the link of one client that opens and asks fails", seeds: 120, isMixed: true,
		size: func(s *experiment.Size) {
			s.VMs, s.Feeds, s.FeedInterval, s.HoldsPerSecond, s.SharedClients, s.OneAddress = 2, 12, 4*clock.Second, 12, true, true
		},
		faults: func(seed clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.DeafClients, At: 7000 + 3*seed, For: 190 + seed%60},
				{Kind: experiment.DeafClients, At: 8500 + 5*seed, For: 590 + seed%60},
				{Kind: experiment.LateProbes, At: 8500, For: 2000, Share: 0.5},
			}
		},
	},
	{
		// Two signs of two causes: the link of one of the VMs that probe a target, and those of clients of others.
		name: "a link of one VM fails while clients of others are silent", seeds: 100, isMixed: true,
		size: func(s *experiment.Size) { s.VMs, s.Feeds, s.HoldsPerSecond, s.SharedClients = 4, 24, 4, true },
		faults: func(seed clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.CutLinks, At: 6000, For: 3000, Share: 0.5},
				{Kind: experiment.DeafClients, At: 6500 + 5*seed, For: 900, Share: 0.3},
			}
		},
	},
	{
		// review/4, with other times and other places of the client's flows.
		name: "targets were replaced, a domain's only VM is frozen and one client's link fails", seeds: 120, isMixed: true,
		size: func(s *experiment.Size) {
			s.Domains, s.VMs, s.Targets, s.Feeds, s.FeedInterval, s.SharedClients, s.OneAddress = 3, 1, 3, 15, 2*clock.Second, true, true
			s.HoldsPerSecond, s.RotationLag = 4, 1500
		},
		faults: func(seed clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.DrainTargets, At: 3000, For: 3000, Share: 0.5},
				{Kind: experiment.PauseVMs, At: 6000 + 5*seed, For: 4000, Share: 0.34},
				{Kind: experiment.DeafClients, At: 7800 + 7*seed, For: 190 + seed%60, Domain: int(seed % 3)},
				{Kind: experiment.DeafClients, At: 8600 + 7*seed, For: 590 + seed%60, Domain: int(seed % 3)},
			}
		},
	},
	{
		name: "targets crash while clients of others are silent", seeds: 60,
		size: otherEntry,
		faults: func(clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.ShiftClients, At: 3000, For: 9000, Domain: 1},
				{Kind: experiment.CrashTargets, At: 6000, For: 4000, Share: 0.4},
				{Kind: experiment.DeafClients, At: 6300, For: 700, Share: 0.5},
			}
		},
		isTimely: true,
	},
	{
		name: "targets left, and VMs are frozen while clients are silent", seeds: 100,
		size: func(s *experiment.Size) { otherEntry(s); s.FeedInterval, s.Synchronized = 2500, true },
		faults: func(clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.ShiftClients, At: 3000, For: 9000, Domain: 1},
				{Kind: experiment.CrashTargets, At: 4990, For: 500, Share: 0.4},
				{Kind: experiment.PauseVMs, At: 6500, For: 4000, Share: 0.5},
				{Kind: experiment.DeafClients, At: 7490, For: 1000, Share: 1},
			}
		},
	},
	{
		name: "targets crash and VMs are frozen while others are busy", seeds: 100,
		size: func(s *experiment.Size) { otherEntry(s); s.ProcessingTime = 120 },
		faults: func(clock.Millis) []experiment.Fault {
			return []experiment.Fault{
				{Kind: experiment.ShiftClients, At: 3000, For: 9000, Domain: 1},
				{Kind: experiment.PauseVMs, At: 5900, For: 4000, Share: 0.5},
				{Kind: experiment.CrashTargets, At: 6000, For: 5000, Share: 0.4},
			}
		},
	},
}

// Flags to print what happens in a world: in the one of TestMeetingsOfFaults with the given seed, or in random worlds
// that fail.
var (
	printWorld = flag.Bool("world.trace", false, "print what happens in a world")
	worldSeed  = flag.Uint64("world.seed", 0, "seed of the world of TestMeetingsOfFaults to print")
)

// play runs the world of a seed.
func (m *meeting) play(t *testing.T, seed uint64) experiment.Report {
	size := meetingSize()
	if m.size != nil {
		m.size(&size)
	}
	if m.isMixed && seed%2 == 1 {
		size.NoProbes, size.OneAddress = true, false
	}
	if *printWorld && seed == *worldSeed {
		size.Trace = func(line string) { t.Log(line) }
	}
	pattern := experiment.Pattern{Name: m.name, Faults: m.faults(clock.Millis(seed))}
	return experiment.Run(size, pattern, "local", inband.Local{}, seed)
}

// TestMeetingsOfFaults guards against resets of living targets' flows where faults meet.
func TestMeetingsOfFaults(t *testing.T) {
	for _, m := range meetingWorlds {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			wrong, first := 0, ""
			for seed := range m.seeds {
				r := m.play(t, seed)
				problem := cmp.Or(r.FirstUnexplained, r.FirstRefuted)
				if m.isTimely && r.LateFailures > 0 {
					problem = fmt.Sprintf("%d requests waited for a lost target until their deadline", r.LateFailures)
				}
				if m.isLocal && r.RemoteOpenings > 0 {
					problem = fmt.Sprintf("%d openings went to another domain", r.RemoteOpenings)
				}
				if problem == "" {
					continue
				}
				wrong++
				first = cmp.Or(first, fmt.Sprintf("seed %d: %s", seed, problem))
			}
			if wrong > 0 {
				t.Errorf("%d of %d worlds, %s", wrong, m.seeds, first)
			}
		})
	}
}
