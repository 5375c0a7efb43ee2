package cmd

import (
	"os"
	"regexp"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/table"
)

// TestReadmeTablesAreValid checks the first JSON example in the README.
func TestReadmeTablesAreValid(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../README.md")
	is.NoErr(err)
	document := regexp.MustCompile("(?s)```json\n(.*?)```").FindSubmatch(text)
	is.True(document != nil)
	snapshot, err := table.Parse(document[1])
	is.NoErr(err)
	is.Equal(len(snapshot.Routes()), 2)
}
