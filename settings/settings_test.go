package settings_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/settings"
)

type property struct {
	Default     any    `json:"default"`
	Description string `json:"description"`
}

// readProperties returns the fields that the schema of the settings defines.
func readProperties(t *testing.T) map[string]property {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile("settings.schema.json")
	is.NoErr(err)
	var schema struct {
		Properties map[string]property `json:"properties"`
	}
	is.NoErr(json.Unmarshal(text, &schema))
	return schema.Properties
}

// readSettingsPage returns the text of docs/SETTINGS.md.
func readSettingsPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "docs", "SETTINGS.md"))
	is.New(t).NoErr(err)
	return string(text)
}

// readExamples returns the JSON examples of docs/SETTINGS.md.
func readExamples(t *testing.T) []string {
	t.Helper()
	var texts []string
	for _, match := range regexp.MustCompile("(?s)```json\n(.*?)```").FindAllStringSubmatch(readSettingsPage(t), -1) {
		texts = append(texts, match[1])
	}
	return texts
}

func TestDocumentationListsExactlyTheFields(t *testing.T) {
	is := is.New(t)
	want := make(map[string]bool)
	for name, p := range readProperties(t) {
		value := "required"
		if p.Default != nil {
			text, err := json.Marshal(p.Default)
			is.NoErr(err)
			value = "`" + string(text) + "`"
		}
		want[fmt.Sprintf("| `%s` | %s | %s |", name, value, p.Description)] = true
	}
	got := make(map[string]bool)
	section := strings.Split(readSettingsPage(t), "\n## ")[1]
	for _, row := range regexp.MustCompile("(?m)^\\| `.*$").FindAllString(section, -1) {
		got[row] = true
	}
	is.Equal(got, want)
}

// Guards against a field that the schema accepts but Parse ignores.
func TestEveryFieldIsRead(t *testing.T) {
	is := is.New(t)
	var base map[string]any
	is.NoErr(json.Unmarshal([]byte(readExamples(t)[0]), &base))
	parse := func(fields map[string]any) *settings.Settings {
		document, err := json.Marshal(fields)
		is.NoErr(err)
		s, err := settings.Parse(document)
		is.NoErr(err)
		return s
	}
	plain := parse(base)
	for name, p := range readProperties(t) {
		changed := maps.Clone(base)
		switch {
		case name == "log_level":
			changed[name] = "warn"
		case name == "platform_endpoints":
			changed[name] = []string{"https://[2001:db8::1]:1"}
		case name == "seed_peers":
			changed[name] = []any{map[string]any{"name": "kadikoy-2", "address": "10.1.0.12:7000"}}
		case strings.HasSuffix(name, "_address"):
			changed[name] = "10.9.9.9:9"
		case reflect.TypeOf(p.Default) == reflect.TypeOf(1.0):
			changed[name] = p.Default.(float64) + 1
		default:
			changed[name] = "other"
		}
		is.True(!reflect.DeepEqual(parse(changed), plain)) // changing the field changes the settings
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse([]byte(`{"name":"","domain":"d","data_address":"localhost:1","peer_address":"10.0.0.1:2",
"operator_address":"10.0.0.1:2","fabric_address":"10.0.0.1:0","platform_endpoints":["ftp://10.0.0.1","http://example.com","http://10.0.0.1/?a=b"],
"seed_peers":[{"name":"a","address":"a:1"}],"workers":0,"mtu":"1500","hash_seed_file":"","extra":1}`))
	var problems *settings.ProblemsError
	is.True(errors.As(err, &problems))
	is.Equal(problems.Code(), result.SettingsInvalid)
	var paths []string
	for _, p := range problems.Problems() {
		paths = append(paths, p.Path())
	}
	is.Equal(paths, []string{
		"$.data_address", "$.extra", "$.fabric_address", "$.hash_seed_file", "$.mtu", "$.name",
		"$.peer_address", "$.platform_endpoints[0]", "$.platform_endpoints[1]", "$.platform_endpoints[2]",
		"$.seed_peers[0].address", "$.steering_keys_file", "$.tls_authorities_file", "$.tls_certificate_file", "$.tls_key_file", "$.workers",
	})
}

func TestLoadKeyFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, content string) {
		is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
	}
	document := strings.ReplaceAll(readExamples(t)[0], "/run/almondflow", dir)
	path := filepath.Join(dir, "settings.json")
	write("settings.json", document)
	s, err := settings.Load(path)
	is.NoErr(err)
	files := s.Files()

	_, err = files.LoadHashSeed()
	var file *settings.FileError
	is.True(errors.As(err, &file))
	is.Equal(file.Code(), result.KeyInvalid)
	is.True(strings.Contains(err.Error(), "$.hash_seed_file = "))
	write("hash_seed", "00000000000000ff\n")
	seed, err := files.LoadHashSeed()
	is.NoErr(err)
	is.Equal(seed, uint64(255))

	write("steering_keys.json", readExamples(t)[1])
	keys, err := files.LoadSteeringKeys()
	is.NoErr(err)
	current := keys.Current()
	is.Equal(current.ID(), uint32(2))
	is.Equal(len(current.Secret()), 32)
	is.Equal(len(keys.Accepted()), 1)
	write("steering_keys.json", `{"current":3,"keys":[{"id":1,"secret":"hush"}]}`)
	_, err = files.LoadSteeringKeys()
	is.True(strings.Contains(err.Error(), "there is no key with this id"))
	is.True(!strings.Contains(err.Error(), "hush")) // messages must not contain secrets

	_, err = files.LoadIdentity()
	is.True(strings.Contains(err.Error(), "$.tls_certificate_file"))
	_, err = settings.Load(filepath.Join(dir, "missing.json"))
	is.True(errors.As(err, &file))
	is.Equal(file.Code(), result.FileUnreadable)
}
