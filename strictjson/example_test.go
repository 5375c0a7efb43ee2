package strictjson_test

import (
	"fmt"

	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/strictjson"
)

func ExampleSchema_Read() {
	schema := strictjson.MustCompile([]byte(`{
		"type": "object",
		"required": ["name"],
		"additionalProperties": false,
		"properties": {"name": {"type": "string"}, "ports": {"type": "array", "items": {"type": "integer", "maximum": 65535}}}
	}`))
	problems := strictjson.NewProblems(result.SettingsInvalid)
	schema.Read("$", []byte(`{"ports": [80, 70000, "http", 1.5], "ports": [], "Name": "a"}`), problems)
	fmt.Println(problems.Err())
	// Output:
	// settings_invalid: 7 problems
	// $.Name = "a": field is unknown
	// $.name: field is missing
	// $.ports = []: field occurs twice
	// $.ports[1] = 70000: maximum: got 70,000, want 65,535
	// $.ports[2] = "http": must be integer, not string
	// $.ports[3] = 1.5: must be integer, not number
	// $.ports[3] = 1.5: must be written as an integer
}
