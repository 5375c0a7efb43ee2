package strictjson

import "encoding/json"

// Object gives access to the fields of a decoded JSON object. Fields with a wrong type are
// treated as missing, because the check against the schema reports them.
type Object struct {
	path   string
	fields map[string]any
}

// NewObject returns an Object for the decoded value at path. A value that is not a JSON
// object results in an empty Object.
func NewObject(path string, value any) Object {
	fields, _ := value.(map[string]any)
	return Object{path: path, fields: fields}
}

// BasePath returns the JSON path of the object itself.
func (o Object) BasePath() string { return o.path }

// Path returns the JSON path of a field.
func (o Object) Path(name string) string { return fieldPath(o.path, name) }

// HasText reports whether the field exists and is a string.
func (o Object) HasText(name string) bool {
	_, ok := o.fields[name].(string)
	return ok
}

// Text returns a string field, or fallback if there is none.
func (o Object) Text(name, fallback string) string {
	if text, ok := o.fields[name].(string); ok {
		return text
	}
	return fallback
}

// Integer returns an integer field, or fallback if there is none.
func (o Object) Integer(name string, fallback int64) int64 {
	number, ok := o.fields[name].(json.Number)
	if !ok {
		return fallback
	}
	value, err := number.Int64()
	if err != nil {
		return fallback
	}
	return value
}

// Bool returns a boolean field, or fallback if there is none.
func (o Object) Bool(name string, fallback bool) bool {
	if value, ok := o.fields[name].(bool); ok {
		return value
	}
	return fallback
}

// Object returns an object field, or an empty Object if there is none.
func (o Object) Object(name string) Object {
	return NewObject(o.Path(name), o.fields[name])
}

// Objects returns the elements of an array field. An element that is not a JSON object is
// returned as an empty Object.
func (o Object) Objects(name string) []Object {
	array, _ := o.fields[name].([]any)
	objects := make([]Object, len(array))
	path := o.Path(name)
	for i, element := range array {
		objects[i] = NewObject(ElementPath(path, i), element)
	}
	return objects
}

// Texts returns the strings of an array field. Other elements are omitted.
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
