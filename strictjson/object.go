package strictjson

import "encoding/json"

// Object reads the fields of a decoded JSON object. Fields of a wrong type read as
// absent, since the schema has reported them already.
type Object struct {
	path   string
	fields map[string]any
}

// NewObject wraps a decoded value found at path. Anything but an object reads as empty.
func NewObject(path string, value any) Object {
	fields, _ := value.(map[string]any)
	return Object{path: path, fields: fields}
}

// Root returns the path of the object.
func (o Object) Root() string { return o.path }

// Path returns the path of a field.
func (o Object) Path(name string) string { return fieldPath(o.path, name) }

// HasText reports whether the field is present and a string.
func (o Object) HasText(name string) bool {
	_, ok := o.fields[name].(string)
	return ok
}

// Text returns a string field or the default.
func (o Object) Text(name, absent string) string {
	if text, ok := o.fields[name].(string); ok {
		return text
	}
	return absent
}

// Integer returns an integer field or the default.
func (o Object) Integer(name string, absent int64) int64 {
	number, ok := o.fields[name].(json.Number)
	if !ok {
		return absent
	}
	value, err := number.Int64()
	if err != nil {
		return absent
	}
	return value
}

// Bool returns a boolean field or the default.
func (o Object) Bool(name string, absent bool) bool {
	if value, ok := o.fields[name].(bool); ok {
		return value
	}
	return absent
}

// Object returns an object field, empty when absent.
func (o Object) Object(name string) Object {
	return NewObject(o.Path(name), o.fields[name])
}

// Objects returns the elements of an array field.
func (o Object) Objects(name string) []Object {
	array, _ := o.fields[name].([]any)
	objects := make([]Object, len(array))
	path := o.Path(name)
	for i, element := range array {
		objects[i] = NewObject(ElementPath(path, i), element)
	}
	return objects
}

// Texts returns the strings of an array field.
func (o Object) Texts(name string) []string {
	array, _ := o.fields[name].([]any)
	var texts []string
	for _, element := range array {
		if text, ok := element.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}
