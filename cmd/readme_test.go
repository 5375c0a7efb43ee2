package cmd

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/table"
)

func TestTablesOfTheReadmeAreAccepted(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../README.md")
	is.NoErr(err)
	document := regexp.MustCompile("(?s)```json\n(.*?)```").FindSubmatch(text)
	is.True(document != nil)
	snapshot, err := table.Parse(document[1])
	is.NoErr(err)
	is.Equal(len(snapshot.Routes()), 2)
}

func TestLinksOfTheReadmeExist(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../README.md")
	is.NoErr(err)
	for _, link := range regexp.MustCompile(`\]\(([^)]+)\)`).FindAllStringSubmatch(string(text), -1) {
		if strings.HasPrefix(link[1], "http") {
			continue
		}
		_, err = os.Stat("../" + link[1])
		is.NoErr(err) // the page exists
	}
}
