package table_test

import (
	"github.com/almondflow/almondflow/seedtest"

	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/flow"
	"github.com/almondflow/almondflow/strictjson"
	"github.com/almondflow/almondflow/table"
)

// TestMain sets a fixed seed for rapid unless one is given.
func TestMain(m *testing.M) { seedtest.Main(m) }

// drawTables returns small valid tables. Names and addresses are drawn from few values, so
// that two draws often share some.
func drawTables(t *rapid.T, version int) *table.Snapshot {
	var routes, pools []string
	endpoints := rapid.Permutation([]int{1, 2, 3, 4, 5, 6, 7, 8}).Draw(t, "endpoints")
	for i := range rapid.IntRange(0, 3).Draw(t, "pools") {
		name := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "pool") + fmt.Sprint(i)
		var hosts []string
		for j := range rapid.IntRange(0, min(3, len(endpoints))).Draw(t, "hosts") {
			hosts = append(hosts, fmt.Sprintf(`{"name":"h%d","address":"192.0.2.%d","port":1,"domain":"d","mark":%q,"generation":%d}`,
				j, endpoints[0], rapid.SampledFrom([]string{"serving", "leaving"}).Draw(t, "mark"), rapid.IntRange(1, 2).Draw(t, "generation")))
			endpoints = endpoints[1:]
		}
		pools = append(pools, fmt.Sprintf(`{"name":%q,"spill":%t,"hosts":[%s]}`, name, rapid.Bool().Draw(t, "spill"), strings.Join(hosts, ",")))
		for j := range rapid.IntRange(0, 2).Draw(t, "routes") {
			routes = append(routes, fmt.Sprintf(`{"name":"%s%d","destination":"203.0.113.%d","port":%d,"protocol":"udp","source":"10.%d.0.0/16","pool":%q}`,
				rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), i*2+j, i, 443, j, name))
		}
	}
	s, err := table.Parse(fmt.Appendf(nil, `{"version":%d,"routes":[%s],"pools":[%s]}`, version, strings.Join(routes, ","), strings.Join(pools, ",")))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A delta that omits a change, or an index that Apply updates incompletely or shares with the
// old version, would make the daemons that received a delta differ from those that received
// the full document.
func TestDeltaLeadsToTheSameTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawTables(t, 1), drawTables(t, 2)
		before := string(old.Document())
		got, err := old.Apply(next.Delta(old))
		if err != nil {
			t.Fatal(err)
		}
		if string(got.Document()) != string(next.Document()) || got.Digest() != next.Digest() {
			t.Fatalf("got %s, want %s", got.Document(), next.Document())
		}
		if string(old.Document()) != before {
			t.Fatal("Apply changed the old version")
		}
		compareLookups(t, got, next)
		compareLookups(t, old, reparse(t, old))
	})
}

// reparse parses the document of a snapshot.
func reparse(t *rapid.T, s *table.Snapshot) *table.Snapshot {
	again, err := table.Parse(s.Document())
	if err != nil {
		t.Fatal(err)
	}
	return again
}

// compareLookups compares the results of all lookups that tables from drawTables can have.
func compareLookups(t *rapid.T, got, want *table.Snapshot) {
	for i := range 9 {
		target := endpoint(fmt.Sprintf("192.0.2.%d:1", i))
		a, aOK := got.ReplySource(target, flow.UDP)
		b, bOK := want.ReplySource(target, flow.UDP)
		if a != b || aOK != bOK {
			t.Fatalf("reply of %s: got %s, want %s", target, a, b)
		}
		for j := range 2 {
			key := flow.NewKey(flow.UDP, endpoint(fmt.Sprintf("10.%d.0.1:9", j)), endpoint(fmt.Sprintf("203.0.113.%d:443", i)))
			a, b := got.Lookup(&key), want.Lookup(&key)
			if (a == nil) != (b == nil) || a != nil && (a.Name() != b.Name() || a.Pool().Name() != b.Pool().Name() || len(a.Pool().Hosts()) != len(b.Pool().Hosts())) {
				t.Fatalf("lookup of %s differs", key.String())
			}
		}
	}
	for _, p := range want.Pools() {
		for i := range p.Hosts() {
			h, ok := got.Host(p.Hosts()[i].ID())
			if !ok || *h != p.Hosts()[i] {
				t.Fatalf("host %s differs", p.Hosts()[i].Name())
			}
		}
	}
}

// Guards against a delta that is applied to the wrong version, that was changed on the way, or
// whose result the checks of a full document would reject. Most edits conflict with data
// that is not part of the delta.
func TestApplyRejectsInvalidDeltas(t *testing.T) {
	is := is.New(t)
	parse := func(text string) *table.Snapshot {
		s, err := table.Parse([]byte(text))
		is.NoErr(err)
		return s
	}
	one := parse(validDocument)
	two := parse(strings.Replace(strings.Replace(validDocument, `"version":7`, `"version":8`, 1), `"port":8443,"domain":"besiktas"`, `"port":8444,"domain":"besiktas"`, 1))
	delta := two.Delta(one)
	is.True(strictjson.IsDelta(delta))
	is.True(!strictjson.IsDelta([]byte(validDocument)))
	var base *strictjson.BaseMismatchError
	_, err := two.Apply(delta)
	is.True(errors.As(err, &base))
	_, err = one.Apply([]byte(strings.Replace(string(delta), "8444", "8445", 1)))
	is.True(errors.Is(err, strictjson.ErrDigestMismatch))
	_, err = one.Apply([]byte(strings.Replace(string(delta), `"address":"192.0.2.1"`, `"address":"192.0.2.2"`, 1)))
	is.True(err != nil)
	_, err = one.Apply([]byte(strings.Replace(string(delta), "8444", "8443", 1)))
	is.True(errors.Is(err, strictjson.ErrDigestMismatch))
	tests := []struct{ edit, want string }{
		{`"remove_pools":["booking-core"]`, "there is no pool of this name"},
		{`"edits":[{"pool":"booking-core","hosts":[{"name":"b1","address":"203.0.113.10","port":1,"domain":"d"}]}]`, "must not have the address"},
		{`"edits":[{"pool":"booking-core","hosts":[{"name":"b1","address":"192.0.2.2","port":8443,"domain":"d"}]}]`, "belong to b1"},
		{`"routes":[{"name":"x","destination":"192.0.2.1","port":1,"protocol":"tcp","pool":"booking-core"}]`, "pool serves"},
		{`"routes":[{"name":"x","destination":"192.0.2.1","port":1,"protocol":"tcp","pool":"p"}],"pools":[{"name":"p","hosts":[]}]`, "must not have the address"},
		{`"routes":[{"name":"booking","destination":"203.0.113.10","port":443,"protocol":"udp","source":"10.0.0.0/8","pool":"booking-core"}]`, "routed already"},
		{`"edits":[{"pool":"booking-core","hosts":[7]}]`, "missing"},
	}
	head, _, _ := strings.Cut(string(delta), `,"edits"`)
	for _, test := range tests {
		_, err := one.Apply([]byte(head + "," + test.edit + "}"))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), test.want)) // same checks as for full documents
	}
}

// A host that leaves the tables may still send replies on its open flows. Guards against
// replies that are no longer translated before RetiredLifetime has passed, or still are
// afterwards, also at a daemon that received the retired hosts from a peer.
func TestWithRetiredOfTranslatesRepliesOfRemovedHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Millis(0)
		current := table.WithRetiredOf(nil, drawTables(t, 1), now)
		// expiresAt and destination are a simple model of the retired hosts: the destination
		// that replaces the source of replies of each endpoint, and until when.
		expiresAt := make(map[flow.Endpoint]clock.Millis)
		destination := make(map[flow.Endpoint]flow.Endpoint)
		for version := 2; version < 6; version++ {
			now += clock.Millis(rapid.IntRange(1, 15).Draw(t, "hours")) * clock.Hour
			for _, p := range current.Pools() {
				for i := range p.Hosts() {
					e := p.Hosts()[i].Endpoint()
					if d, ok := current.ReplySource(e, p.Hosts()[i].Protocol()); ok {
						expiresAt[e], destination[e] = now+table.RetiredLifetime, d
					}
				}
			}
			published := drawTables(t, version)
			current = table.WithRetiredOf(current, published, now)
			checkReplies(t, current, published, now, expiresAt, destination)
			received, err := table.Parse(current.DocumentWithRetired(now))
			if err != nil {
				t.Fatal(err)
			}
			checkReplies(t, table.WithRetiredOf(nil, received, now+clock.Hour), published, now, expiresAt, destination)
		}
	})
}

// checkReplies compares the replies of s with those of the published tables and, for
// endpoints that are not in them, with the model of the retired hosts.
func checkReplies(t *rapid.T, s, published *table.Snapshot, now clock.Millis, expiresAt map[flow.Endpoint]clock.Millis, destination map[flow.Endpoint]flow.Endpoint) {
	for e, end := range expiresAt {
		want, ok := published.ReplySource(e, flow.UDP)
		if !ok && end > now {
			want, ok = destination[e], true
		}
		if got, gotOK := s.ReplySource(e, flow.UDP); got != want || gotOK != ok {
			t.Fatalf("reply of %s at %d: got %s %t, want %s %t", e, now, got, gotOK, want, ok)
		}
	}
}
