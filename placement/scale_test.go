package placement_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/table"
)

// newSmallPools returns tables whose pools have three hosts each. The host with the index
// leaving is marked as leaving; -1 means none.
func newSmallPools(tb testing.TB, version, hosts, leaving int) *table.Snapshot {
	var routes, pools []string
	for i := range hosts / 3 {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","destination":"11.%d.%d.1","port":443,"protocol":"tcp","pool":"p%d"}`,
			i, i/250, i%250, i))
		var entries []string
		for j := range 3 {
			state := "serving"
			if i*3+j == leaving {
				state = "leaving"
			}
			entries = append(entries, fmt.Sprintf(`{"name":"h%d","address":"10.%d.%d.%d","port":8443,"domain":"d%d","mark":%q,"slots":2,"connections":2000}`,
				j, i/250, i%250, j+1, (i+j)%7, state))
		}
		pools = append(pools, fmt.Sprintf(`{"name":"p%d","hosts":[%s]}`, i, strings.Join(entries, ",")))
	}
	document := fmt.Sprintf(`{"version":%d,"routes":[%s],"pools":[%s]}`, version, strings.Join(routes, ","), strings.Join(pools, ","))
	snapshot, err := table.Parse([]byte(document))
	if err != nil {
		tb.Fatal(err)
	}
	return snapshot
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkTables reports what hosts cost a daemon: the bytes of state per host before and
// after each pool was used, and the times to apply tables that change one host, to handle
// the loss of a VM of the own domain, to place the first flow of a pool after that, and to
// eject a target.
func BenchmarkTables(b *testing.B) {
	for _, hosts := range []int{999, 9999, 99000} {
		original, edited := newSmallPools(b, 1, hosts, -1), newSmallPools(b, 2, hosts, 5)
		list := newList(b, 70, 7)
		self := fleet.NewID(vmName(0))
		complete := placement.NewFleetShares(list, self, alwaysAlive)
		reduced := placement.NewFleetShares(list, self, func(id fleet.ID) bool { return id != fleet.NewID(vmName(7)) })
		before := heapBytes()
		p := placement.New()
		p.SetFleet(0, complete)
		p.SetTables(0, original)
		idleBytes := heapBytes() - before
		useAll := func() {
			for i, route := range original.Routes() {
				target, _ := p.Place(0, route, flowHash(i), 0)
				p.RemoveFlow(target.ID())
			}
		}
		useAll()
		usedBytes := heapBytes() - before
		name := fmt.Sprintf("/hosts=%d", hosts)
		b.Run("state"+name, func(b *testing.B) {
			b.ReportMetric(idleBytes/float64(hosts), "idle_B/host")
			b.ReportMetric(usedBytes/float64(hosts), "used_B/host")
		})
		b.Run("owner_lost"+name, func(b *testing.B) {
			for i := range b.N {
				p.SetFleet(0, []*placement.FleetShares{reduced, complete}[i%2])
			}
		})
		b.Run("first_flow"+name, func(b *testing.B) {
			for i := range b.N {
				p.SetFleet(0, []*placement.FleetShares{reduced, complete}[i%2])
				useAll()
			}
			b.ReportMetric(float64(b.Elapsed())/float64(b.N*len(original.Routes())), "ns/pool")
		})
		b.Run("ejection"+name, func(b *testing.B) {
			ids := []flow.TargetID{original.Pools()[0].Hosts()[0].ID()}
			for i := range b.N {
				p.SetEjected(0, ids[:i%2])
			}
		})
		b.Run("edit"+name, func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				p := placement.New()
				p.SetTables(0, original)
				b.StartTimer()
				p.SetTables(0, edited)
			}
		})
	}
}

// BenchmarkPlace reports the time and the allocations of one placement for pools of
// several sizes.
func BenchmarkPlace(b *testing.B) {
	for _, prefer := range []string{"flows", "balance"} {
		for _, hosts := range []int{14, 140, 14000} {
			p := placement.New()
			list := newList(b, 70, 7)
			p.SetFleet(0, placement.NewFleetShares(list, fleet.NewID(vmName(0)), alwaysAlive))
			snapshot := newTables(prefer, hosts, 7).parse(b)
			p.SetTables(0, snapshot)
			route := snapshot.Routes()[0]
			b.Run(fmt.Sprintf("%s/hosts=%d", prefer, hosts), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					target, code := p.Place(clock.Millis(i/1000), route, flowHash(i), 0)
					if code != result.Placed {
						b.Fatal(code)
					}
					p.RemoveFlow(target.ID())
				}
			})
		}
	}
}

// BenchmarkSubset reports on how many daemons each host of a large pool and domain is
// used: the mean, the minimum and the maximum.
func BenchmarkSubset(b *testing.B) {
	const vms, hosts = 2286, 14142
	list := newList(b, vms, 1)
	snapshot := newTables("balance", hosts, 1).parse(b)
	for range b.N {
		daemons := make(map[flow.TargetID]int)
		for i := range vms {
			p := placement.New()
			p.SetFleet(0, placement.NewFleetShares(list, fleet.NewID(vmName(i)), alwaysAlive))
			p.SetTables(0, snapshot)
			target, _ := p.Place(0, snapshot.Routes()[0], 1, 0)
			p.RemoveFlow(target.ID())
			for _, h := range p.Hosts() {
				daemons[h]++
			}
		}
		minimum, maximum, total := vms, 0, 0
		for _, h := range snapshot.Pools()[0].Hosts() {
			n := daemons[h.ID()]
			minimum, maximum, total = min(minimum, n), max(maximum, n), total+n
		}
		b.ReportMetric(float64(total)/hosts, "mean")
		b.ReportMetric(float64(minimum), "fewest")
		b.ReportMetric(float64(maximum), "most")
	}
}
