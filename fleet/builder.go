package fleet

import (
	"net/netip"

	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/strictjson"
)

// maxDomainVMs limits the VMs of a failure domain, which a Ranking identifies by 16-bit
// indexes.
const maxDomainVMs = 65_534

// listBuilder builds a List from the VMs of documents or of an earlier list, and checks
// them for conflicts.
type listBuilder struct {
	problems *strictjson.Problems
	entries  []listEntry
	// domains interns the names of failure domains.
	domains map[string]string
}

// listEntry is a VM and the place in the document where it is declared.
type listEntry struct {
	vm VM
	// path is empty for a VM that was copied from an earlier list.
	path string
}

// fieldPath returns the path of a field of the VM, for problems.
func (e *listEntry) fieldPath(name string) string {
	if e.path == "" {
		return `$.vms["` + e.vm.name + `"].` + name
	}
	return e.path + "." + name
}

func newListBuilder() *listBuilder {
	return &listBuilder{
		problems: strictjson.NewProblems(result.ListInvalid),
		domains:  make(map[string]string),
	}
}

// addVM adds the VM that a JSON object declares.
func (b *listBuilder) addVM(o strictjson.Object) {
	state, _ := ParseState(o.Text("state", Serving.String()))
	domain := o.Text("domain", "")
	if known, exists := b.domains[domain]; exists {
		domain = known
	}
	b.domains[domain] = domain
	v := NewVM(o.Text("name", ""), domain, b.parseAddress(o, "data_address"), b.parseAddress(o, "peer_address"), state)
	b.entries = append(b.entries, listEntry{vm: v, path: o.BasePath()})
}

// parseAddress parses the address in a field of a VM and adds a problem if it is invalid.
func (b *listBuilder) parseAddress(o strictjson.Object, field string) netip.AddrPort {
	if !o.HasText(field) {
		return netip.AddrPort{}
	}
	text := o.Text(field, "")
	address, err := strictjson.ParseAddrPort(text)
	if err != nil {
		b.problems.Add(o.Path(field), text, "%v", err)
	}
	return address
}

// build checks the VMs and returns their list, or a *ProblemsError with all problems.
func (b *listBuilder) build(version uint64) (*List, error) {
	b.checkNames()
	b.checkAddresses("data_address", func(v *VM) netip.AddrPort { return v.dataAddress })
	b.checkAddresses("peer_address", func(v *VM) netip.AddrPort { return v.peerAddress })
	if err := b.problems.Err(); err != nil {
		return nil, err
	}
	vms := make([]VM, len(b.entries))
	for i := range b.entries {
		vms[i] = b.entries[i].vm
	}
	return NewList(version, vms), nil
}

// checkNames adds a problem for each name whose identity is already used and for each
// failure domain with too many VMs.
func (b *listBuilder) checkNames() {
	ids := make(map[ID]int, len(b.entries))
	perDomain := make(map[string]int)
	for i := range b.entries {
		e := &b.entries[i]
		if e.vm.name == "" {
			continue
		}
		if first, exists := ids[e.vm.id]; exists {
			b.problems.Add(e.fieldPath("name"), e.vm.name, "name is used already, or has the same hash as another, at %s",
				b.entries[first].fieldPath("name"))
		} else {
			ids[e.vm.id] = i
		}
		perDomain[e.vm.domain]++
		if perDomain[e.vm.domain] == maxDomainVMs+1 {
			b.problems.Add(e.fieldPath("domain"), e.vm.domain, "failure domain has more than %d VMs", maxDomainVMs)
		}
	}
}

// checkAddresses adds a problem for each address that two VMs share. The addresses of lost
// VMs may be reused.
func (b *listBuilder) checkAddresses(field string, address func(*VM) netip.AddrPort) {
	used := make(map[netip.AddrPort]int, len(b.entries))
	for i := range b.entries {
		e := &b.entries[i]
		a := address(&e.vm)
		if !a.IsValid() || e.vm.state == Lost {
			continue
		}
		if first, exists := used[a]; exists {
			b.problems.Add(e.fieldPath(field), a.String(), "address is used already at %s", b.entries[first].fieldPath(field))
			continue
		}
		used[a] = i
	}
}
