package targets_test

import (
	"fmt"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/placement"
	"github.com/almondflow/almondflow/targets"
)

// A target that refuses its flows is ejected even though no probe has failed.
func ExampleMonitor() {
	monitor := targets.New(vmID(0))
	monitor.SetTables(0, newTables(fatalPanic{}, 4, 1))
	monitor.SetList(0, newList(fatalPanic{}, 1, 1))
	for now := clock.Second; now <= 2*clock.Second; now += clock.Second {
		monitor.AddEvidence(now, []placement.Tally{
			placement.NewTally(hostID(0), 0, 5, 0),
			placement.NewTally(hostID(1), 5, 0, 0),
		})
		ejected, changed := monitor.Tick(now)
		fmt.Println(len(ejected), changed)
	}
	fmt.Println(monitor.Verdicts()[0].Reason())
	// Output:
	// 0 false
	// 1 true
	// flows_fail
}

type fatalPanic struct{}

func (fatalPanic) Fatal(arguments ...any) { panic(fmt.Sprint(arguments...)) }
