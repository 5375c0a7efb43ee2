package settings_test

import (
	"testing"

	"github.com/almondflow/almondflow/settings"
)

// FuzzParse guards against settings that end the process.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name":"","domain":"d","data_address":"localhost:1","peer_address":"10.0.0.1:2","max_flows":1e99}`))
	f.Add([]byte(`{"platform_endpoints":["ftp://10.0.0.1","http://[::1"],"listen":null}`))
	f.Add([]byte(`[{"a":{}}]`))
	f.Fuzz(func(t *testing.T, document []byte) {
		s, err := settings.Parse(document)
		if (s == nil) == (err == nil) {
			t.Fatal("want either settings or an error")
		}
	})
}
