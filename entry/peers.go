package entry

import (
	"context"
	"strconv"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/geneve"
	"github.com/almondflow/almondflow/member"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/peers"
	"github.com/almondflow/almondflow/published"
)

// peerHandler handles calls of other daemons. It implements peers.Handler.
type peerHandler struct {
	daemon *Daemon
}

// Exchange passes a message to the membership machine and returns its answer, or nil if there
// is none.
func (h *peerHandler) Exchange(ctx context.Context, from fleet.ID, m *member.Message) *member.Message {
	return h.daemon.driver.Exchange(ctx, from, m)
}

// Document returns the current version of a document. It returns false if it isn't newer
// than the caller's version since.
func (h *peerHandler) Document(name string, since uint64) (peers.Document, bool) {
	callerState := published.NewState(since, published.Digest{})
	version, document, ok := h.daemon.store.Since(h.daemon.clock.Now(), name, callerState)
	if !ok {
		return peers.Document{}, false
	}
	return peers.NewDocument(version, document), true
}

// Repair accepts no flow records and returns 0, because daemons send their records in
// datagrams.
func (h *peerHandler) Repair(fleet.ID, [][]byte) int { return 0 }

// Pull fetches a newer version of a document from a peer and offers it to the store. If the
// store can't apply a delta, it fetches the full document. It implements peers.Observer.
func (c *controlLoop) Pull(ctx context.Context, from *fleet.VM, name string, _ uint64) {
	since := c.daemon.store.State(name).Version()
	if c.pull(ctx, from, name, since) == published.NeedsFullDocument && since > 0 {
		c.pull(ctx, from, name, 0)
	}
}

// ReplaceKeys replaces the keys that sign messages in datagrams and, if the daemon was
// started with PeerKeys, its identity for gRPC calls. It records the change in the audit trail.
func (d *Daemon) ReplaceKeys(ring *geneve.KeyRing, identity peers.Identity) {
	before := d.config.Keys.Ring().Current().ID()
	d.config.Keys.Set(ring)
	if d.config.PeerKeys != nil {
		d.config.PeerKeys.Replace(identity)
	}
	d.trail.Add(operator.ChangedKey, "steering key", strconv.FormatUint(uint64(before), 10),
		strconv.FormatUint(uint64(ring.Current().ID()), 10), "key files")
}

// controlTraffic returns the number of bytes of control traffic sent and received. Messages
// in datagrams are counted only when they are sent.
func (d *Daemon) controlTraffic() (sent, received uint64) {
	return d.traffic.Sent() + d.counters.controlBytes.Load(), d.traffic.Received()
}
