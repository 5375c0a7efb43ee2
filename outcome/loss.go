package outcome

// Loss is why a target is lost to a flow.
type Loss uint8

// Losses, in the order in which they are checked.
const (
	NotLost        Loss = iota
	EntryEnded          // the target left the store, and a packet of the flow timed out
	ProbeRefused        // no process runs at its address
	ProbesSilent        // it was silent to the probes of two VMs
	ProbeAndPacket      // it was silent to a probe, left one of this VM unanswered, and a packet timed out here
	DomainCut           // its domain seems cut off, and it was silent to a probe of this VM
)

var lossNames = [...]string{"", "entry_ended", "probe_refused", "probes_silent", "probe_and_packet", "domain_cut"}

// String returns the name of the loss in logs.
func (l Loss) String() string { return lossNames[l] }
