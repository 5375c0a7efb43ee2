package fleet

import (
	"net/netip"

	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/strictjson"
)

// maxDomainVMs is the number of VMs of a failure domain that ranks can name.
const maxDomainVMs = 65_534

// listDraft collects VMs and the places where they were declared, and finds those that
// contradict each other.
type listDraft struct {
	problems *strictjson.Problems
	entries  []listEntry
	domains  map[string]string
}

type listEntry struct {
	vm VM
	// path is empty for a VM that was kept from an earlier version.
	path string
}

func (e *listEntry) field(name string) string {
	if e.path == "" {
		return `$.vms["` + e.vm.name + `"].` + name
	}
	return e.path + "." + name
}

func newListDraft() *listDraft {
	return &listDraft{
		problems: strictjson.NewProblems(result.ListInvalid),
		domains:  make(map[string]string),
	}
}

func (d *listDraft) add(o strictjson.Object) {
	state, _ := ParseState(o.Text("state", Serving.String()))
	domain := o.Text("domain", "")
	if known, exists := d.domains[domain]; exists {
		domain = known
	}
	d.domains[domain] = domain
	v := NewVM(o.Text("name", ""), domain, d.address(o, "data_address"), d.address(o, "peer_address"), state)
	d.entries = append(d.entries, listEntry{vm: v, path: o.Root()})
}

func (d *listDraft) address(o strictjson.Object, field string) netip.AddrPort {
	if !o.HasText(field) {
		return netip.AddrPort{}
	}
	text := o.Text(field, "")
	address, err := strictjson.ParseAddrPort(text)
	if err != nil {
		d.problems.Add(o.Path(field), text, "%v", err)
	}
	return address
}

// list returns what was collected, or every fault.
func (d *listDraft) list(version uint64) (*List, error) {
	d.checkNames()
	d.checkAddresses("data_address", func(v *VM) netip.AddrPort { return v.dataAddress })
	d.checkAddresses("peer_address", func(v *VM) netip.AddrPort { return v.peerAddress })
	if err := d.problems.Err(); err != nil {
		return nil, err
	}
	vms := make([]VM, len(d.entries))
	for i := range d.entries {
		vms[i] = d.entries[i].vm
	}
	return NewList(version, vms), nil
}

func (d *listDraft) checkNames() {
	ids := make(map[ID]int, len(d.entries))
	perDomain := make(map[string]int)
	for i := range d.entries {
		e := &d.entries[i]
		if e.vm.name == "" {
			continue
		}
		if first, exists := ids[e.vm.id]; exists {
			d.problems.Add(e.field("name"), e.vm.name, "name is used already, or has the same hash as the one, at %s",
				d.entries[first].field("name"))
		} else {
			ids[e.vm.id] = i
		}
		perDomain[e.vm.domain]++
		if perDomain[e.vm.domain] == maxDomainVMs+1 {
			d.problems.Add(e.field("domain"), e.vm.domain, "failure domain has more than %d VMs", maxDomainVMs)
		}
	}
}

// checkAddresses finds addresses that two VMs have. Those of lost VMs are free.
func (d *listDraft) checkAddresses(field string, address func(*VM) netip.AddrPort) {
	used := make(map[netip.AddrPort]int, len(d.entries))
	for i := range d.entries {
		e := &d.entries[i]
		a := address(&e.vm)
		if !a.IsValid() || e.vm.state == Lost {
			continue
		}
		if first, exists := used[a]; exists {
			d.problems.Add(e.field(field), a.String(), "address is used already at %s", d.entries[first].field(field))
			continue
		}
		used[a] = i
	}
}
