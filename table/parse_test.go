package table_test

import (
	"errors"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/strictjson"
	"github.com/almondflow/almondflow/table"
)

const validDocument = `{"version":7,
"routes":[
 {"name":"booking","destination":"203.0.113.10","port":443,"protocol":"udp","pool":"booking-core"},
 {"name":"booking-office","destination":"203.0.113.10","port":443,"protocol":"udp","source":"10.0.0.0/8","pool":"booking-core","repeatable":true,"idle_timeout_seconds":60,"mid_flow":"hash"}],
"pools":[
 {"name":"booking-core","prefer":"balance","spill":true,"slow_start_seconds":5,"hosts":[
  {"name":"b2","address":"192.0.2.2","port":8443,"domain":"kadikoy","mark":"joining","generation":3,"weight":2,"slots":2,"connections":2000},
  {"name":"b1","address":"192.0.2.1","port":8443,"domain":"besiktas"}]}]}`

func endpoint(text string) flow.Endpoint { return flow.NewEndpoint(netip.MustParseAddrPort(text)) }

func TestParseAndLookup(t *testing.T) {
	is := is.New(t)
	s, err := table.Parse([]byte(validDocument))
	is.NoErr(err)
	is.Equal(s.Version(), uint64(7))
	tests := []struct {
		source string
		want   string
	}{
		{"10.1.2.3:5000", "booking-office"},
		{"11.1.2.3:5000", "booking"},
	}
	for _, test := range tests {
		key := flow.NewKey(flow.UDP, endpoint(test.source), endpoint("203.0.113.10:443"))
		is.Equal(s.Lookup(&key).Name(), test.want) // longest source prefix
	}
	host, ok := s.HostAt(endpoint("192.0.2.2:8443"), flow.UDP)
	is.True(ok)
	is.Equal(host.ID(), flow.NewTargetID("booking-core", "b2", 3))
	destination, ok := s.ReplySource(endpoint("192.0.2.1:8443"), flow.UDP)
	is.True(ok)
	is.Equal(destination, endpoint("203.0.113.10:443"))
	again, err := table.Parse(s.Document())
	is.NoErr(err)
	is.Equal(string(again.Document()), string(s.Document())) // canonical
}

const invalidDocument = `{"version":7,"extra":"red",
"routes":[
 {"name":"a","destination":"203.0.113.10","port":70000,"protocol":"udp","pool":"p"},
 {"name":"b","destination":"203.0.113.11","port":443,"protocol":"sctp","pool":"p"},
 {"name":"c","destination":"203.0.113.12","port":443,"protocol":"tcp","pool":"missing"},
 {"name":"d","destination":"203.0.113.13","port":443,"protocol":"tcp","source":"10.0.0.1/8","pool":"q"},
 {"name":"d","destination":"203.0.113.14","port":443,"protocol":"tcp","pool":"r"}],
"pools":[
 {"name":"p","hosts":[{"name":"h","address":"192.0.2.300","port":1,"domain":"x"}]},
 {"name":"q","hosts":[{"name":"h","address":"203.0.113.14","port":1,"domain":"x","weight":"heavy"}]},
 {"name":"r","hosts":[{"name":"h","address":"2001:db8::1","port":1,"domain":"x"},{"name":"i","port":2,"domain":"x"}]}]}`

func TestParseReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := table.Parse([]byte(invalidDocument))
	var problems *table.ProblemsError
	is.True(errors.As(err, &problems))
	want := []string{
		`$.extra = "red": field is unknown`,
		`$.pools[0].hosts[0].address = "192.0.2.300": must be an IPv4 or IPv6 address`,
		`$.pools[1].hosts[0].weight = "heavy": must be integer, not string`,
		`$.pools[2].hosts[0].address = "2001:db8::1": must be of the same address family as the destination of the pool`,
		`$.pools[2].hosts[1].address: field is missing`,
		`$.routes[0].port = 70000: maximum: got 70,000, want 65,535`,
		`$.routes[1].protocol = "sctp": value must be one of 'tcp', 'udp'`,
		`$.routes[2].pool = "missing": there is no pool of this name`,
		`$.routes[3].source = "10.0.0.1/8": bits after the prefix must be zero, as in 10.0.0.0/8`,
		`$.routes[4].destination = "203.0.113.14": destination of route d must not have the address of host h of pool q`,
		`$.routes[4].name = "d": name is used already at $.routes[3]`,
	}
	is.Equal(strings.Split(err.Error(), "\n")[1:], want)
	is.Equal(problems.Code(), result.TablesInvalid)
}

func TestParseRejects(t *testing.T) {
	route := func(fields string) string {
		return `{"version":1,"routes":[{"name":"a","destination":"203.0.113.10","port":443,"protocol":"udp","pool":"p"}` +
			fields + `],"pools":[{"name":"p","hosts":[]}]}`
	}
	pools := func(pools string) string { return `{"version":1,"routes":[],"pools":[` + pools + `]}` }
	tests := []struct {
		name     string
		document string
		want     string
	}{
		{"truncated", `{"version":1`, "$: not JSON"},
		{"trailing data", `{"version":1,"routes":[],"pools":[]} {}`, "data after the document"},
		{"not UTF-8", "{\"version\":1,\"routes\":[],\"pools\":[],\"\xff\":1}", "UTF-8"},
		{"deep", strings.Repeat("[", 100), "nested deeper"},
		{"duplicate field", `{"version":1,"version":1,"routes":[],"pools":[]}`, "$.version = 1: field occurs twice"},
		{"other case", `{"Version":1,"routes":[],"pools":[]}`, "$.Version = 1: field is unknown"},
		{"float", `{"version":1.0,"routes":[],"pools":[]}`, "$.version = 1.0: must be written as an integer"},
		{"null", `null`, "$: must be object, not null"},
		{"same traffic", route(`,{"name":"b","destination":"203.0.113.10","port":443,"protocol":"udp","pool":"p"}`), "routed already by a"},
		{"two destinations", route(`,{"name":"b","destination":"203.0.113.10","port":444,"protocol":"udp","pool":"p"}`), "$.routes[1].pool = \"p\": pool serves udp 203.0.113.10:443 already"},
		{"pool name twice", pools(`{"name":"p","hosts":[]},{"name":"p","hosts":[]}`), "$.pools[1].name = \"p\": name is used already"},
		{"address twice", pools(`{"name":"p","hosts":[{"name":"a","address":"192.0.2.1","port":1,"domain":"x"},{"name":"b","address":"192.0.2.1","port":1,"domain":"x"}]}`), "$.pools[0].hosts[1].address"},
		{"zone", pools(`{"name":"p","hosts":[{"name":"a","address":"fe80::1%eth0","port":1,"domain":"x"}]}`), "must not have a zone"},
		{"mapped", pools(`{"name":"p","hosts":[{"name":"a","address":"::ffff:192.0.2.1","port":1,"domain":"x"}]}`), "must not be mapped"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := table.Parse([]byte(test.document))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want)) // the message describes the problem
		})
	}
}

func TestParsePartsReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := table.ParseParts(1, []strictjson.Part{
		strictjson.NewPart("a", []byte(`{"version":1,"routes":[{"name":"a","destination":"203.0.113.1","port":0,"protocol":"udp","pool":"p"}]}`)),
		strictjson.NewPart("b", []byte(`{"pools":[{"name":"p","hosts":[{"name":"h","port":1,"domain":"d"}]},7]}`)),
	})
	is.True(err != nil)
	is.Equal(strings.Split(err.Error(), "\n")[1:], []string{
		`a:$.routes[0].port = 0: minimum: got 0, want 1`,
		`a:$.version = 1: field is unknown`,
		`b:$.pools[0].hosts[0].address: field is missing`,
		`b:$.pools[1] = 7: must be object, not number`,
	})
}
