package demo

import (
	"net/netip"
	"strings"

	"github.com/almondflow/almondflow/flow"
)

// logExplanation logs what each entry VM knows about a flow that failed.
func (e *environment) logExplanation(client, destination netip.AddrPort) {
	key := flow.NewKey(flow.UDP, flow.NewEndpoint(client), flow.NewEndpoint(destination))
	for _, v := range e.vms.running() {
		explanation := v.daemon.Explain(key)
		names := make([]string, 0, len(explanation.Holders))
		for _, h := range explanation.Holders {
			names = append(names, h.Name)
		}
		e.log.printf("  %s: holders %s, owner %s, target %s %s", v.name, strings.Join(names, " "), explanation.Owner, explanation.Target, explanation.Host)
	}
}
