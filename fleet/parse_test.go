package fleet_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/strictjson"
)

func vmDocument(name string, port int, state string) string {
	return fmt.Sprintf(`{"name":%q,"domain":"kadikoy","data_address":"127.0.0.1:%d","peer_address":"127.0.0.1:%d","state":%q}`,
		name, port, port+1000, state)
}

func listDocument(version int, vms ...string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"vms":[%s]}`, version, strings.Join(vms, ","))
}

func mustParse(t *testing.T, document []byte) *fleet.List {
	t.Helper()
	l, err := fleet.ParseList(document)
	is.New(t).NoErr(err)
	return l
}

func TestParseListReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := fleet.ParseList(listDocument(0,
		vmDocument("a", 1, "serving"), vmDocument("a", 2, "gone"), vmDocument("b", 1, "leaving"), vmDocument("c", 1, "lost"),
		`{"name":"d","domain":"x","data_address":"localhost:1","zone":1}`, `7`))
	var problems *fleet.ProblemsError
	is.True(errors.As(err, &problems))
	is.Equal(problems.Code(), result.ListInvalid)
	var paths []string
	for _, p := range problems.Problems() {
		paths = append(paths, p.Path())
	}
	is.Equal(paths, []string{
		"$.version", "$.vms[1].name", "$.vms[1].state", "$.vms[2].data_address", "$.vms[2].peer_address",
		"$.vms[4].data_address", "$.vms[4].peer_address", "$.vms[4].zone", "$.vms[5]",
	})
}

func TestDeltaAndPartsGiveSameList(t *testing.T) {
	is := is.New(t)
	a, b, c, b2 := vmDocument("a", 1, "serving"), vmDocument("b", 2, "serving"), vmDocument("c", 3, "serving"), vmDocument("b", 2, "leaving")
	one, two := mustParse(t, listDocument(1, a, b)), mustParse(t, listDocument(2, c, b2))
	got, err := one.Apply(two.Delta(one))
	is.NoErr(err)
	is.Equal(got.Digest(), two.Digest())
	is.Equal(string(got.Document()), string(two.Document()))
	_, err = one.Apply([]byte(strings.Replace(string(two.Delta(one)), "leaving", "lost", 1)))
	is.True(errors.Is(err, strictjson.ErrDigestMismatch))
	_, err = two.Apply(two.Delta(one))
	var base *strictjson.BaseMismatchError
	is.True(errors.As(err, &base))
	part := func(vms ...string) []strictjson.Part {
		return []strictjson.Part{strictjson.NewPart("p", []byte(`{"vms":[`+strings.Join(vms, ",")+`]}`))}
	}
	got, err = one.ReplaceParts(2, part(a, b), part(b2, c))
	is.NoErr(err)
	is.Equal(got.Digest(), two.Digest())
	_, err = one.ReplaceParts(2, part(a), part(b))
	is.True(strings.Contains(err.Error(), "name is used already")) // also by a VM of a part that stays
}
