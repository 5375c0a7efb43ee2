// Package strictjson reads JSON documents so that every daemon accepts or rejects the
// same bytes: it reports unknown fields, duplicates, trailing data and wrong types, all
// of them at once and each with its path.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxDepth is the nesting that a document may have.
const maxDepth = 12

// errDepth ends the reading of a document that is nested too deeply.
var errDepth = fmt.Errorf("nested deeper than %d levels", maxDepth)

type decoder struct {
	json     *json.Decoder
	problems *Problems
	elements map[string]Element
}

// Decode reads one document into Object, []any, json.Number, string, bool and nil.
// It reports false when the text is no JSON, so that nothing more can be said of it.
// Duplicate fields and numbers that are no plain integers are problems as well. Paths
// begin with root, "$" for a document of its own.
func Decode(root string, document []byte, problems *Problems) (any, bool) {
	return decode(root, document, problems, nil)
}

// decode is Decode that hands the elements of some arrays on and leaves them out.
func decode(root string, document []byte, problems *Problems, elements map[string]Element) (any, bool) {
	if !utf8.Valid(document) {
		problems.Add(root, nil, "text is not valid UTF-8")
		return nil, false
	}
	d := decoder{json: json.NewDecoder(bytes.NewReader(document)), problems: problems, elements: elements}
	d.json.UseNumber()
	value, err := d.value(root, 0)
	if err == nil {
		err = d.end()
	}
	if err != nil {
		problems.Add(root, nil, "not JSON at byte %d: %v", d.json.InputOffset(), err)
		return nil, false
	}
	return value, true
}

func (d *decoder) end() error {
	_, err := d.json.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return errors.New("data after the document")
}

func (d *decoder) value(path string, depth int) (any, error) {
	return d.valueWith(path, depth, nil)
}

func (d *decoder) valueWith(path string, depth int, element *Element) (any, error) {
	token, err := d.json.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, errDepth
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return d.object(path, depth)
		}
		return d.array(path, depth, element)
	case json.Number:
		if strings.ContainsAny(token.String(), ".eE") || token.String() == "-0" {
			d.problems.Add(path, token, "must be written as an integer")
		}
		return token, nil
	default:
		return token, nil
	}
}

func (d *decoder) object(path string, depth int) (any, error) {
	object := make(map[string]any)
	for d.json.More() {
		token, err := d.json.Token()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, errors.New("field name expected")
		}
		at := fieldPath(path, name)
		value, err := d.field(name, at, depth+1)
		if err != nil {
			return nil, err
		}
		if _, exists := object[name]; exists {
			d.problems.Add(at, value, "field occurs twice")
			continue
		}
		object[name] = value
	}
	_, err := d.json.Token()
	return object, err
}

// field reads a field. Elements apply to the fields of the document itself.
func (d *decoder) field(name, path string, depth int) (any, error) {
	if element, exists := d.elements[name]; exists && depth == 1 {
		return d.valueWith(path, depth, &element)
	}
	return d.value(path, depth)
}

func (d *decoder) array(path string, depth int, element *Element) (any, error) {
	array := []any{}
	for i := 0; d.json.More(); i++ {
		value, err := d.value(ElementPath(path, i), depth+1)
		if err != nil {
			return nil, err
		}
		if element == nil {
			array = append(array, value)
			continue
		}
		element.take(ElementPath(path, i), value, d.problems)
	}
	_, err := d.json.Token()
	return array, err
}

func fieldPath(path, name string) string {
	for _, r := range name {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !isLetter && (r < '0' || r > '9') && r != '_' {
			return path + "[" + quote(name) + "]"
		}
	}
	return path + "." + name
}

// ElementPath returns the path of an element of the array at path.
func ElementPath(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
