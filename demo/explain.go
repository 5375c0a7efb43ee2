package demo

import (
	"net/netip"
	"strings"

	"github.com/almondflow/almondflow/flow"
)

// explain writes what each entry VM knows of a flow that went wrong.
func (w *world) explain(client, destination netip.AddrPort) {
	key := flow.NewKey(flow.UDP, flow.NewEndpoint(client), flow.NewEndpoint(destination))
	for _, v := range w.vms.live() {
		e := v.daemon.Explain(key)
		names := make([]string, 0, len(e.Holders))
		for _, h := range e.Holders {
			names = append(names, h.Name)
		}
		w.log.printf("  %s: holders %s, owner %s, target %s %s", v.name, strings.Join(names, " "), e.Owner, e.Target, e.Host)
	}
}
