package fleet

import (
	_ "embed" // embeds the schema of the list
	"encoding/json"
	"net/netip"
	"sync"

	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/strictjson"
)

// maxDomainVMs is the number of VMs of a failure domain that ranks can name.
const maxDomainVMs = 65_534

// ProblemsError lists every fault of a list document.
type ProblemsError = strictjson.ProblemsError

//go:embed list.schema.json
var listSchemaText []byte

//go:embed list_part.schema.json
var listPartSchemaText []byte

var listPartSchema = sync.OnceValue(func() *strictjson.Schema {
	return strictjson.MustCompile(listPartSchemaText)
})

var listSchema = sync.OnceValue(func() *strictjson.Schema {
	return strictjson.MustCompile(listSchemaText)
})

// ParseList reads a published list. It accepts all of the document or nothing of it;
// the error is a *ProblemsError that names every fault.
func ParseList(document []byte) (*List, error) {
	problems := strictjson.NewProblems(result.ListInvalid)
	root, ok := listSchema().Read("$", document, problems)
	if !ok {
		return nil, problems.Err()
	}
	c := newListCheck(problems)
	c.add(root.Objects("vms"))
	return c.list(uint64(root.Integer("version", 0)))
}

// ParseListParts reads a published list that is split into parts of the form
// {"vms": [...]}. It accepts all parts or none.
func ParseListParts(version uint64, parts []strictjson.Part) (*List, error) {
	problems := strictjson.NewProblems(result.ListInvalid)
	c := newListCheck(problems)
	for i := range parts {
		root, ok := listPartSchema().Read(parts[i].Name()+":$", parts[i].Document(), problems)
		if ok {
			c.add(root.Objects("vms"))
		}
	}
	return c.list(version)
}

// listCheck finds VMs that contradict each other.
type listCheck struct {
	problems  *strictjson.Problems
	names     map[string]string
	ids       map[ID]string
	data      map[netip.AddrPort]string
	peer      map[netip.AddrPort]string
	perDomain map[string]int
	vms       []VM
}

func newListCheck(problems *strictjson.Problems) *listCheck {
	return &listCheck{
		problems:  problems,
		names:     make(map[string]string),
		ids:       make(map[ID]string),
		data:      make(map[netip.AddrPort]string),
		peer:      make(map[netip.AddrPort]string),
		perDomain: make(map[string]int),
	}
}

func (c *listCheck) add(objects []strictjson.Object) {
	for _, o := range objects {
		c.vms = append(c.vms, c.vm(o))
	}
}

// list returns what was collected, or every fault.
func (c *listCheck) list(version uint64) (*List, error) {
	if err := c.problems.Err(); err != nil {
		return nil, err
	}
	return NewList(version, c.vms), nil
}

func (c *listCheck) vm(o strictjson.Object) VM {
	name, domain := o.Text("name", ""), o.Text("domain", "")
	state, _ := ParseState(o.Text("state", Serving.String()))
	c.identity(o, name)
	c.domain(o, domain)
	v := NewVM(name, domain, c.address(o, "data_address"), c.address(o, "peer_address"), state)
	if state != Lost {
		c.unique(o, "data_address", v.dataAddress, c.data)
		c.unique(o, "peer_address", v.peerAddress, c.peer)
	}
	return v
}

func (c *listCheck) identity(o strictjson.Object, name string) {
	if name == "" {
		return
	}
	if first, exists := c.names[name]; exists {
		c.problems.Add(o.Path("name"), name, "name is used already at %s", first)
		return
	}
	c.names[name] = o.Path("name")
	if first, exists := c.ids[NewID(name)]; exists {
		c.problems.Add(o.Path("name"), name, "name has the same hash as the one at %s", first)
		return
	}
	c.ids[NewID(name)] = o.Path("name")
}

func (c *listCheck) domain(o strictjson.Object, domain string) {
	c.perDomain[domain]++
	if c.perDomain[domain] == maxDomainVMs+1 {
		c.problems.Add(o.Path("domain"), domain, "failure domain has more than %d VMs", maxDomainVMs)
	}
}

func (c *listCheck) address(o strictjson.Object, field string) netip.AddrPort {
	if !o.HasText(field) {
		return netip.AddrPort{}
	}
	text := o.Text(field, "")
	address, err := strictjson.ParseAddrPort(text)
	if err != nil {
		c.problems.Add(o.Path(field), text, "%v", err)
	}
	return address
}

func (c *listCheck) unique(o strictjson.Object, field string, address netip.AddrPort, used map[netip.AddrPort]string) {
	if !address.IsValid() {
		return
	}
	if first, exists := used[address]; exists {
		c.problems.Add(o.Path(field), address.String(), "address is used already at %s", first)
		return
	}
	used[address] = o.Path(field)
}

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
		v := &l.vms[i]
		m.VMs = append(m.VMs, vmMessage{
			Name:        v.name,
			Domain:      v.domain,
			DataAddress: v.dataAddress.String(),
			PeerAddress: v.peerAddress.String(),
			State:       v.state.String(),
		})
	}
	document, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	return document
}
