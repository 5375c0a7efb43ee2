package fleet

import "encoding/json"

type listMessage struct {
	Version uint64      `json:"version"`
	VMs     []vmMessage `json:"vms"`
}

type vmMessage struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	DataAddress string `json:"data_address"`
	PeerAddress string `json:"peer_address"`
	State       string `json:"state"`
}

// Document returns the list as canonical JSON: equal lists give equal bytes, which
// ParseList accepts.
func (l *List) Document() []byte {
	m := listMessage{Version: l.version, VMs: make([]vmMessage, 0, len(l.vms))}
	for i := range l.vms {
		m.VMs = append(m.VMs, l.vms[i].message())
	}
	return encode(m)
}

func (v *VM) message() vmMessage {
	return vmMessage{
		Name:        v.name,
		Domain:      v.domain,
		DataAddress: v.dataAddress.String(),
		PeerAddress: v.peerAddress.String(),
		State:       v.state.String(),
	}
}

func encode(m any) []byte {
	document, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	return document
}
