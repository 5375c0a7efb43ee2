package inband_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/inband"
)

func TestRevisionsAreOrderedByEra(t *testing.T) {
	is := is.New(t)
	is.Equal(inband.NewRevision(0, 152), inband.Revision(152)) // a store without eras
	is.True(inband.NewRevision(1, 7) > inband.NewRevision(0, inband.MaxRevisionNumber))
	r := inband.NewRevision(inband.MaxRevisionEra, inband.MaxRevisionNumber)
	is.Equal(r.Era(), uint64(inband.MaxRevisionEra))
	is.Equal(r.Number(), uint64(inband.MaxRevisionNumber))
	is.Equal(inband.NewRevision(0, 152).String(), "152")
	is.Equal(inband.NewRevision(3, 152).String(), "3/152")
}
