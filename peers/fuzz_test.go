package peers

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/almondflow/almondflow/member"
)

// FuzzDecode guards against messages of peers that end the process or exceed the limits of a message.
func FuzzDecode(f *testing.F) {
	for _, g := range []*Gossip{
		{}, {Kind: 99, AgeMilliseconds: 1 << 63, Counts: make([]byte, 1000), PredecessorVersion: 1, PredecessorMembers: []uint64{3, 1}},
		{Versions: []*DocumentVersion{nil, {ConfirmedAgePlusOne: 1}}, Updates: []*MemberUpdate{nil, {Status: 77}}},
	} {
		data, err := proto.Marshal(g)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var g Gossip
		if proto.Unmarshal(data, &g) != nil {
			return
		}
		m := decode(&g)
		if len(m.Versions) > member.MaxVersions || len(m.Updates) > member.MaxUpdates || len(m.TargetReports) > member.MaxTargetReportBytes || m.ProcessAge < 0 {
			t.Fatalf("message exceeds its limits: %+v", m)
		}
	})
}
