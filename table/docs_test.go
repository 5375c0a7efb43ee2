package table_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/strictjson"
	"github.com/almondflow/almondflow/table"
)

// readTablesPage returns the text of docs/TABLES.md.
func readTablesPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "docs", "TABLES.md"))
	is.New(t).NoErr(err)
	return string(text)
}

var codeBlock = regexp.MustCompile("(?s)```(json|text)\n(.*?)```")

func TestDocumentationExamples(t *testing.T) {
	is := is.New(t)
	blocks := codeBlock.FindAllStringSubmatch(readTablesPage(t), -1)
	is.Equal(len(blocks), 5)
	_, err := table.Parse([]byte(blocks[0][2]))
	is.NoErr(err)
	_, err = table.Parse([]byte(blocks[1][2]))
	is.True(err != nil)
	want := strings.ReplaceAll(strings.TrimSpace(blocks[2][2]), "bad.json: ", "")
	is.Equal(strings.SplitN(err.Error(), "\n", 2)[1], want)
	_, err = table.ParseParts(1, []strictjson.Part{strictjson.NewPart("part", []byte(blocks[3][2]))})
	is.NoErr(err)
	_, err = fleet.ParseList([]byte(blocks[4][2]))
	is.NoErr(err)
}

// TestDocumentationListsFieldsAndDefaults compares the fields and defaults listed in
// docs/TABLES.md with those of a document that omits all optional fields.
func TestDocumentationListsFieldsAndDefaults(t *testing.T) {
	is := is.New(t)
	s, err := table.Parse([]byte(`{"version":1,"routes":[{"name":"a","destination":"203.0.113.1","port":1,"protocol":"udp","pool":"p"}],` +
		`"pools":[{"name":"p","hosts":[{"name":"h","address":"192.0.2.1","port":1,"domain":"d"}]}]}`))
	is.NoErr(err)
	var document struct {
		Routes []map[string]json.RawMessage `json:"routes"`
		Pools  []map[string]json.RawMessage `json:"pools"`
	}
	is.NoErr(json.Unmarshal(s.Document(), &document))
	var hosts []map[string]json.RawMessage
	is.NoErr(json.Unmarshal(document.Pools[0]["hosts"], &hosts))
	tests := []struct {
		section string
		got     map[string]json.RawMessage
	}{
		{"Fields of a route", document.Routes[0]},
		{"Fields of a pool", document.Pools[0]},
		{"Fields of a host", hosts[0]},
	}
	row := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (?:`(.*?)`|([a-z ]+)) \\|")
	for _, test := range tests {
		_, section, _ := strings.Cut(readTablesPage(t), "## "+test.section)
		section, _, _ = strings.Cut(section, "\n## ")
		listed := make(map[string]bool)
		for _, match := range row.FindAllStringSubmatch(section, -1) {
			listed[match[1]] = true
			if match[2] != "" {
				is.Equal(string(test.got[match[1]]), match[2]) // default
			}
		}
		for name := range listed {
			_, exists := test.got[name]
			is.True(exists || name == "source") // the field exists; a source prefix has no default
		}
		for name := range test.got {
			is.True(listed[name]) // the field is documented
		}
	}
}
