package published

import "testing"

// Guards against a value that is taken for a head, or a response for the platform's, by a field that differs in case or
// occurs twice.
func TestMisspelledFieldsOfThePlatform(t *testing.T) {
	for text, want := range map[string]bool{`{"parts":[]}`: true, `{"Parts":[]}`: false, `{"parts":[],"parts":[]}`: false, `[]`: false} {
		if isHead([]byte(text)) != want {
			t.Errorf("isHead(%s) is %t", text, !want)
		}
	}
	for text, want := range map[string]uint64{
		`{"version":7,"value":{}}`:             7,
		`{"Version":7,"value":{}}`:             0,
		`{"version":7,"value":{},"Value":1}`:   0,
		`{"version":7,"version":9,"value":{}}`: 0,
	} {
		if got := parseResponse([]byte(text)); got.version != want {
			t.Errorf("version of %s is %d", text, got.version)
		}
	}
}
