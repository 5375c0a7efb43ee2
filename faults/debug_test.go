package faults

import (
	"fmt"
	"os"
	"testing"

	"github.com/almondflow/almondflow/result"
)

func TestDebug(t *testing.T) {
	name := os.Getenv("SCEN")
	if name == "" {
		t.Skip()
	}
	for _, s := range scenarios() {
		if s.name != name {
			continue
		}
		c := marmara(1)
		c.trace = true
		w := newWorld(c)
		w.run(warmUp)
		w.load(steadySpan+s.span+settleSpan, 180, 16, 4)
		w.run(steadySpan)
		w.oracle.watch()
		s.start(w)
		w.run(s.span + settleSpan + 40000)
		hist := map[string]int{}
		for _, c := range w.clients {
			if c.state == unanswered || c.state == broken {
				h := w.ranking(w.platform.list, nil)
				_ = h
				r1 := w.rankings[1].Holders(c.key.Hash(flowHashSeed), 0)
				own := w.byID[r1.At(0)].name
				hist[fmt.Sprintf("%s %d at %d owner1 %s", kindNames[c.kind], c.state, c.started/5000*5, own)]++
			}
		}
		for k, n := range hist {
			fmt.Println(k, n)
		}
		for _, l := range w.lines {
			fmt.Println(l)
		}
		for _, v := range w.vms {
			fmt.Print(v.name, " ", v.up, " ")
			for _, e := range result.All() {
				if n := v.node.Count(e.Code()); n > 0 {
					fmt.Print(e.Name(), "=", n, " ")
				}
			}
			fmt.Println()
		}
	}
}
