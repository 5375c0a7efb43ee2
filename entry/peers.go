package entry

import (
	"sync"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/member"
)

// transport carries messages of the membership to other daemons.
type transport interface {
	// Send hands over a message, which may be lost.
	Send(to fleet.ID, m *member.Message)
	// Traffic returns the bytes sent and received since the start.
	Traffic() (sent, received uint64)
}

// pull fetches a version of a document from a peer in the background.
func (d *Daemon) pull(from fleet.ID, name string, version uint64) {
	d.log.Debug("pull", "from", from, "name", name, "version", version)
}

// controlTraffic returns the bytes of control traffic sent and received.
func (d *Daemon) controlTraffic() (sent, received uint64) {
	sent, received = d.peers.Traffic()
	return sent + d.counters.repairBytes.Load(), received
}

var registry sync.Map

type noPeers struct{ self *Daemon }

func (n noPeers) Send(to fleet.ID, m *member.Message) {
	if peer, ok := registry.Load(to); ok {
		c := *m
		peer.(*Daemon).control.inbox.push(received{n.self.self, &c})
	}
}
func (noPeers) Traffic() (uint64, uint64) { return 0, 0 }
