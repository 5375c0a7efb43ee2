package published_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/clock"
	"github.com/almondflow/almondflow/published"
	"github.com/almondflow/almondflow/table"
)

func tables(version int, port int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"a","destination":"203.0.113.10","port":443,"protocol":"udp","pool":"p"}],`+
		`"pools":[{"name":"p","hosts":[{"name":"h","address":"192.0.2.1","port":%d,"domain":"d"}]}]}`, version, port)
}

func TestStoreRejectsStaleAndInvalidVersions(t *testing.T) {
	is := is.New(t)
	s := published.NewStore()
	var changes []published.Change
	s.Listen(func(c published.Change) { changes = append(changes, c) })
	steps := []struct {
		version  uint64
		document []byte
		want     published.Verdict
		current  uint64
	}{
		{3, tables(3, 1), published.Accepted, 3},
		{3, tables(3, 1), published.Known, 3},
		{2, tables(2, 1), published.Stale, 3},
		{3, tables(3, 2), published.Conflicting, 3},
		{4, tables(4, 0), published.Rejected, 3},
		{4, tables(4, 0), published.Rejected, 3},
		{5, tables(6, 1), published.Rejected, 3},
		{4, []byte(`garbage`), published.Rejected, 3},
		{5, tables(5, 2), published.Accepted, 5},
	}
	for _, step := range steps {
		verdict, err := s.Offer(1, "peer", published.Tables, step.version, step.document)
		is.Equal(verdict, step.want)
		is.Equal(err != nil, step.want == published.Conflicting || step.want == published.Rejected)
		is.Equal(s.State(published.Tables).Version(), step.current)
		is.Equal(s.Tables().Version(), step.current)
	}
	is.Equal(len(changes), 2)
	is.Equal(changes[1].PreviousVersion(), uint64(3))
	is.Equal(changes[1].Source(), "peer")
	verdict, err := s.Offer(1, "peer", published.Tables, 6, append([]byte{0x1f, 0x8b}, tables(6, 1)...))
	is.Equal(verdict, published.Rejected) // has the gzip magic but is not compressed
	is.True(err != nil)
	_, err = s.Offer(1, "peer", "other", 1, nil)
	is.True(errors.Is(err, published.ErrUnknownName))
}

// A daemon that starts with the current tables lacks the hosts that were removed from earlier
// versions, and would not translate their replies. Guards against a daemon that does not get
// them from its peers, with the tables or separately.
func TestStoreMergesRetiredHostsFromPeers(t *testing.T) {
	is := is.New(t)
	old, fresh := published.NewStore(), published.NewStore()
	for version, port := range []int{1, 2} {
		_, err := old.Offer(0, "platform", published.Tables, uint64(version+1), tables(version+1, port))
		is.NoErr(err)
	}
	_, err := fresh.Offer(0, "platform", published.Tables, 2, tables(2, 2))
	is.NoErr(err)
	is.Equal(fresh.State(published.Tables), old.State(published.Tables)) // retired hosts are not part of the digest
	version, document, ok := old.Document(clock.Hour, published.Tables)
	is.True(ok)
	verdict, err := fresh.Offer(0, "peer", published.Tables, version, document)
	is.NoErr(err)
	is.Equal(verdict, published.Known)
	is.True(fresh.Tables().HasRetired())
	_, retired, ok := old.Document(clock.Hour, published.Retired)
	is.True(ok)
	late := published.NewStore()
	verdict, err = late.Offer(0, "peer", published.Retired, 2, retired)
	is.NoErr(err)
	is.Equal(verdict, published.NeedsFullDocument) // has no tables to add them to
	_, err = late.Offer(0, "platform", published.Tables, 2, tables(2, 2))
	is.NoErr(err)
	verdict, err = late.Offer(0, "peer", published.Retired, 2, retired)
	is.NoErr(err)
	is.Equal(verdict, published.Known)
	is.Equal(string(late.Tables().DocumentWithRetired(0)), string(fresh.Tables().DocumentWithRetired(0)))
	_, err = late.Offer(0, "peer", published.Retired, 2, []byte(`{"version":2,"retired":[{}]}`))
	is.True(err != nil)
	again, err := table.Parse(fresh.Tables().DocumentWithRetired(clock.Hour))
	is.NoErr(err)
	is.True(again.HasRetired())
}
