package front

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/outcome"
)

// maxDatagramBytes exceeds the size of any packet of a flow.
const maxDatagramBytes = 2048

// packetsPerTiming is the sampling interval of processing times, in packets.
const packetsPerTiming = 64

// readPackets reads and handles client packets until the socket is closed.
func (d *Daemon) readPackets() {
	prefix := d.options.PacketCodec.PrefixSize()
	buffer := make([]byte, prefix+maxDatagramBytes)
	reset := make([]byte, maxDatagramBytes)
	var packet inband.Packet
	for count := 0; ; count++ {
		n, _, err := d.sockets.packets.ReadFromUDPAddrPort(buffer[prefix:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.log.Warn("receive_failed", "error", err)
			continue
		}
		var startedAt time.Time
		if count%packetsPerTiming == 0 {
			startedAt = time.Now()
		}
		if err := d.options.PacketCodec.Decode(buffer[prefix:prefix+n], &packet); err != nil {
			d.logRoutine("malformed", slog.String("error", err.Error()))
			continue
		}
		d.handlePacket(&packet, buffer[:prefix+n], reset)
		d.metrics.recordPacketTime(startedAt)
	}
}

// handlePacket forwards one packet, drops it or resets its flow, as the engine decides. Packets
// that cannot be served yet are queued.
func (d *Daemon) handlePacket(packet *inband.Packet, buffer, reset []byte) {
	now := d.clock.Now()
	if d.pauseDetector.isStalled(now) {
		d.checkForPause(now) // before what waited meanwhile is taken for evidence
	}
	d.mu.Lock()
	if !d.isServable(packet) {
		d.enqueue(now, packet, buffer)
		d.mu.Unlock()
		return
	}
	verdict := d.engine.Handle(now, packet)
	d.reasonCounts[verdict.Reason]++
	isLogged := verdict.Reason != inband.Forwarded && (!isRoutine(verdict.Reason) || d.lineLimiter.allow())
	var line flowLine
	if isLogged {
		line = d.newFlowLine(now, packet.Key, &verdict)
	}
	var target netip.AddrPort
	if verdict.Action == inband.Forward {
		target = verdict.Backend.Target().Address
		d.options.PacketCodec.SetTarget(buffer, verdict.Backend.Target().Identity, verdict.Tag())
	}
	hasSuspicions := d.engine.HasNewSuspicions()
	d.mu.Unlock()
	switch verdict.Action {
	case inband.Forward:
		d.sendPacket(buffer, target)
	case inband.Reset:
		d.sendReset(packet.Key, verdict.Seq, reset)
	case inband.Drop:
	}
	if isLogged {
		line.write(d.log)
	}
	if hasSuspicions {
		d.handleUnresponsive(now)
	}
}

// endFlowsOfLostTargets ends the flows that wait for lost targets and returns them with their log
// lines. The caller holds the lock.
func (d *Daemon) endFlowsOfLostTargets(now clock.Millis) ([]inband.EndedFlow, []flowLine) {
	ended := d.engine.EndFlowsOfLostTargets(now)
	lines := make([]flowLine, 0, len(ended))
	for _, f := range ended {
		verdict := inband.Verdict{Reason: inband.TargetDead, Backend: f.Backend, Loss: f.Loss}
		d.reasonCounts[verdict.Reason]++
		lines = append(lines, d.newFlowLine(now, f.Key, &verdict))
	}
	return ended, lines
}

// sendResets sends resets to the clients of ended flows.
func (d *Daemon) sendResets(ended []inband.EndedFlow, lines []flowLine) {
	if len(ended) == 0 {
		return
	}
	buffer := make([]byte, maxDatagramBytes)
	for i, f := range ended {
		d.sendReset(f.Key, f.Seq, buffer)
		lines[i].write(d.log)
	}
}

// sendReset sends a reset to the client of a flow.
func (d *Daemon) sendReset(key inband.Key, seq uint32, buffer []byte) {
	n := d.options.PacketCodec.EncodeReset(buffer, key, seq)
	d.sendPacket(buffer[:n], netip.AddrPortFrom(key.Client.Addr(), localAddress(d.sockets.packets).Port()))
}

// sendPacket sends a datagram and logs a failure.
func (d *Daemon) sendPacket(datagram []byte, to netip.AddrPort) {
	if _, err := d.sockets.packets.WriteToUDPAddrPort(datagram, to); err != nil {
		d.log.Warn("send_failed", "to", to, "error", err)
	}
}

// isRoutine reports whether log lines with this reason may be suppressed under load.
func isRoutine(reason inband.Reason) bool {
	switch reason {
	case inband.Placed, inband.PlacedLate, inband.MovedUnavailable, inband.Repeated,
		inband.NoRoute, inband.NoTarget, inband.NoTargetInRegion, inband.Overloaded, inband.Deferred:
		return true
	default:
		return false
	}
}

// flowLine holds the contents of a log line about a flow.
type flowLine struct {
	at           clock.Millis
	reason       inband.Reason
	key          inband.Key
	target       string
	unresponsive string // target that did not answer earlier
	loss         outcome.Loss
	flows        int   // of the target
	busy         int   // of the target
	version      int64 // of the tables
	revision     inband.Revision
	age          clock.Millis // of the view
}

// newFlowLine collects the contents of a log line. The caller holds the lock.
func (d *Daemon) newFlowLine(now clock.Millis, key inband.Key, verdict *inband.Verdict) flowLine {
	line := flowLine{at: now, reason: verdict.Reason, key: key, loss: verdict.Loss, revision: d.catalog.Revision(), age: d.catalog.Age(now)}
	if t := d.catalog.Tables(); t != nil {
		line.version = t.Version
	}
	if b := verdict.Backend; b != nil {
		line.target, line.flows, line.busy = b.Target().ID, b.Flows(), b.Busy()
	}
	if s := verdict.Unresponsive; s != nil {
		line.unresponsive = s.Target().ID
	}
	return line
}

// write logs the line.
func (l *flowLine) write(log *slog.Logger) {
	attributes := []any{
		"at_ms", l.at, "client", l.key.Client, "service", l.key.Destination,
		"target", l.target, "silent_target", l.unresponsive, "target_flows", l.flows, "target_busy", l.busy,
		"tables", l.version, "revision", l.revision, "view_age_ms", l.age,
	}
	if l.loss != outcome.NotLost {
		attributes = append(attributes, "loss", l.loss)
	}
	log.Info("flow_"+l.reason.String(), attributes...)
}

// logRoutine logs a line unless the rate limit of routine lines is reached.
func (d *Daemon) logRoutine(message string, attributes ...any) {
	d.mu.Lock()
	isLogged := d.lineLimiter.allow()
	d.mu.Unlock()
	if isLogged {
		d.log.Info(message, attributes...)
	}
}
