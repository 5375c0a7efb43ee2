// Package siblings implements the membership and the messages of the entry VMs of a
// deployment. VMs find each other and forward what one of them read from the store in small
// datagrams; complete views are fetched over HTTP.
package siblings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	exact "github.com/go-json-experiment/json"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/drain"
	"github.com/almondflow/almondflow/inband"
)

// MaxMessageBytes is the maximum size of a datagram between entry VMs.
const MaxMessageBytes = 1400

// Kind is the kind of a message, as it is sent.
type Kind string

// Kinds of messages.
const (
	Hello     Kind = "hello"     // asks the receiver for a heartbeat
	Heartbeat Kind = "heartbeat" // reports that the sender is alive
	Announce  Kind = "announce"  // reports a view that was read from the store or received from another VM
	Suspect   Kind = "suspect"   // reports unresponsive targets and request outcomes
	Load      Kind = "load"      // reports the work that VMs have at targets
	Leave     Kind = "goodbye"   // reports that the sender shuts down
)

// Contact is an entry VM as known to another entry VM.
type Contact struct {
	Address  netip.AddrPort `json:"address"`
	Domain   string         `json:"domain"`   // failure domain
	Capacity int            `json:"capacity"` // link and processor in coarse steps; VMs with more read the store first
	AgeMS    clock.Millis   `json:"age_ms"`   // time since the VM was last known to be alive
}

// ViewSummary describes the sender's view of the store.
type ViewSummary struct {
	Revision inband.Revision `json:"revision"`
	AgeMS    clock.Millis    `json:"age_ms"`  // time since the view was known to be current
	Version  int64           `json:"version"` // of the tables
	Digest   uint64          `json:"digest"`  // equal for VMs whose views agree
}

// Message is one datagram between entry VMs.
type Message struct {
	Kind       Kind                   `json:"kind"`
	From       Contact                `json:"from"`
	View       *ViewSummary           `json:"view,omitempty"`
	Tables     *inband.TablesDelta    `json:"tables,omitempty"`  // changes since the previous version
	Targets    []*inband.Target       `json:"targets,omitempty"` // changed recently
	Drains     []drain.Mark           `json:"drains,omitempty"`  // changed recently
	Contacts   []Contact              `json:"contacts,omitempty"`
	Suspicions []inband.Suspicion     `json:"suspects,omitempty"`
	Probes     []inband.ProbeReport   `json:"probes,omitempty"` // of suspected targets
	Outcomes   []inband.OutcomeReport `json:"grades,omitempty"` // of targets with failed requests
	Load       []byte                 `json:"load,omitempty"`   // a load.Report, as load.Encode writes it
}

// Encode encodes a message as a datagram. Content that exceeds MaxMessageBytes is left out, the
// least important first; receivers that miss changes of the view fetch it over HTTP. Encode returns
// an error if the message exceeds the limit even so.
func Encode(m Message) ([]byte, error) {
	for {
		data, err := json.Marshal(m)
		if err != nil {
			return nil, fmt.Errorf("encode message: %w", err)
		}
		if len(data) <= MaxMessageBytes {
			return data, nil
		}
		switch {
		case len(m.Load) > 0:
			m.Load = nil
		case len(m.Contacts) > 0:
			m.Contacts = m.Contacts[:len(m.Contacts)/2]
		case len(m.Outcomes) > 0:
			m.Outcomes = m.Outcomes[:len(m.Outcomes)/2]
		case len(m.Probes) > 0:
			m.Probes = m.Probes[:len(m.Probes)/2]
		case len(m.Suspicions) > 0:
			m.Suspicions = m.Suspicions[:len(m.Suspicions)/2]
		case m.Tables != nil:
			m.Tables = nil
		case len(m.Targets) > 0:
			m.Targets = m.Targets[:len(m.Targets)/2]
		case len(m.Drains) > 0:
			m.Drains = m.Drains[:len(m.Drains)/2]
		default:
			return nil, fmt.Errorf("message of %d bytes exceeds the limit of %d bytes", len(data), MaxMessageBytes)
		}
	}
}

// Decode decodes and validates a datagram. It returns an error if the datagram is not a message, has
// no valid sender address, or contains a null target.
func Decode(data []byte) (*Message, error) {
	m := &Message{}
	if err := exact.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	if !m.From.Address.IsValid() {
		return nil, fmt.Errorf("message of kind %q has no valid sender address", m.Kind)
	}
	if slices.Contains(m.Targets, nil) {
		return nil, fmt.Errorf("message from %s contains a null target", m.From.Address)
	}
	return m, nil
}
