package cmd

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/result"
)

// tableRows returns the rows whose first cell matches the pattern, of all tables in a page of
// the documentation.
func tableRows(t *testing.T, page, pattern string) []string {
	t.Helper()
	text, err := os.ReadFile("../docs/" + page)
	is.New(t).NoErr(err)
	return regexp.MustCompile(`(?m)^\| (?:`+pattern+`) \|.*\|$`).FindAllString(string(text), -1)
}

func TestErrorsPageMatchesCodes(t *testing.T) {
	var want []string
	for _, e := range result.All() {
		want = append(want, "| "+strconv.Itoa(int(e.Code()))+" | "+e.Name()+" | "+e.Meaning()+" |")
	}
	is.New(t).Equal(tableRows(t, "ERRORS.md", `[0-9]+`), want)
}

func TestMetricsPageMatchesMetrics(t *testing.T) {
	var want []string
	for _, m := range operator.AllMetrics() {
		want = append(want, "| "+m.Name()+" | "+string(m.Type())+" | "+m.Unit()+" | "+m.Meaning()+" |")
	}
	is.New(t).Equal(tableRows(t, "METRICS.md", `almondflow_[a-z_]+`), want)
}

func TestAuditPageListsAllKinds(t *testing.T) {
	text, err := os.ReadFile("../docs/AUDIT.md")
	is := is.New(t)
	is.NoErr(err)
	kindTable := regexp.MustCompile(`(?s)\| Kind \|.*?\n\n`).FindString(string(text))
	var got []operator.ChangeKind
	for _, match := range regexp.MustCompile(`(?m)^\| ([a-z]+) \|`).FindAllStringSubmatch(kindTable, -1) {
		got = append(got, operator.ChangeKind(match[1]))
	}
	is.Equal(got, operator.ChangeKinds())
}
