package strictjson

import (
	"bytes"
	"errors"
	"maps"
	"strconv"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// schemaURL is the identifier under which a schema is compiled. Nothing is loaded from it.
const schemaURL = "almondflow.schema.json"

// Schema checks decoded documents against a JSON schema.
type Schema struct {
	compiled *jsonschema.Schema
	printer  *message.Printer
}

// MustCompile compiles an embedded JSON schema. It panics if the schema is invalid, which
// is always a programming error.
func MustCompile(schema []byte) *Schema { return mustCompile(schema, schemaURL) }

// MustCompileDefinition compiles the definition of that name in the "$defs" of an embedded
// JSON schema. It panics if the schema is invalid.
func MustCompileDefinition(schema []byte, name string) *Schema {
	return mustCompile(schema, schemaURL+"#/$defs/"+name)
}

func mustCompile(schema []byte, location string) *Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		panic(err)
	}
	return &Schema{
		compiled: compiler.MustCompile(location),
		printer:  message.NewPrinter(language.English),
	}
}

// Check checks a decoded document against the schema and adds every violation to problems.
// The paths of problems start with root.
func (s *Schema) Check(root string, document any, problems *Problems) {
	var invalid *jsonschema.ValidationError
	if errors.As(s.compiled.Validate(document), &invalid) {
		s.collect(root, document, invalid, problems)
	}
}

// collect adds the innermost causes of a validation error, which are the specific ones.
func (s *Schema) collect(root string, document any, e *jsonschema.ValidationError, problems *Problems) {
	for _, cause := range e.Causes {
		s.collect(root, document, cause, problems)
	}
	if len(e.Causes) > 0 {
		return
	}
	path, value := resolveLocation(root, document, e.InstanceLocation)
	object := NewObject(path, value)
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		for _, name := range k.Missing {
			problems.Add(object.Path(name), nil, "field is missing")
		}
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			problems.Add(object.Path(name), object.fields[name], "field is unknown")
		}
	case *kind.Type:
		problems.Add(path, value, "must be %s, not %s", k.Want[0], k.Got)
	case *kind.Pattern:
		problems.Add(path, value, "must match %s", k.Want)
	default:
		problems.Add(path, value, "%s", k.LocalizedString(s.printer))
	}
}

// resolveLocation returns the path and the value of a location relative to value.
func resolveLocation(path string, value any, location []string) (string, any) {
	for _, token := range location {
		switch container := value.(type) {
		case map[string]any:
			path = fieldPath(path, token)
			value = container[token]
		case []any:
			index, err := strconv.Atoi(token)
			if err != nil || index >= len(container) {
				return path, nil
			}
			path = ElementPath(path, index)
			value = container[index]
		}
	}
	return path, value
}

// Defaults returns the default values of the top-level fields in a schema text. It panics if
// the text is not valid JSON.
func Defaults(schema []byte) map[string]any {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		panic(err) // MustCompile panics for such a schema too
	}
	properties := NewObject("$", document).Object("properties")
	defaults := make(map[string]any)
	for name := range properties.fields {
		if value, exists := properties.Object(name).fields["default"]; exists {
			defaults[name] = value
		}
	}
	return defaults
}

// WithDefaults returns a copy of the object in which missing fields have their default.
func (o Object) WithDefaults(defaults map[string]any) Object {
	fields := maps.Clone(defaults)
	maps.Copy(fields, o.fields)
	return Object{path: o.path, fields: fields}
}
