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

// Document returns the list as canonical JSON, which ParseList accepts. Equal lists have
// equal documents.
func (l *List) Document() []byte {
	list := listMessage{Version: l.version, VMs: make([]vmMessage, 0, len(l.vms))}
	for i := range l.vms {
		list.VMs = append(list.VMs, l.vms[i].toMessage())
	}
	return encode(list)
}

func (v *VM) toMessage() vmMessage {
	return vmMessage{
		Name:        v.name,
		Domain:      v.domain,
		DataAddress: v.dataAddress.String(),
		PeerAddress: v.peerAddress.String(),
		State:       v.state.String(),
	}
}

func encode(message any) []byte {
	document, err := json.Marshal(message)
	if err != nil {
		panic(err) // strings and integers can always be encoded
	}
	return document
}
