// Package strictjson decodes and validates JSON documents so that every daemon accepts or
// rejects the same ones. It rejects unknown fields, duplicate fields, trailing data and
// wrong types, and reports all problems of a document at once, each with its JSON path.
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

// maxDepth is the maximum nesting depth of a document.
const maxDepth = 12

// errTooDeep is the error for a document that is nested deeper than maxDepth.
var errTooDeep = fmt.Errorf("nested deeper than %d levels", maxDepth)

type decoder struct {
	json     *json.Decoder
	problems *Problems
	elements map[string]ElementReader
}

// Decode decodes a document into map[string]any, []any, json.Number, string, bool and nil.
// It returns false if the document is not valid JSON. Duplicate fields and numbers that are
// not written as integers are added to problems. The paths of problems start with root,
// which is "$" for a separate document.
func Decode(root string, document []byte, problems *Problems) (any, bool) {
	return decode(root, document, problems, nil)
}

// decode works as Decode, but passes the elements of the arrays named in elements to their
// ElementReader and omits them from the result.
func decode(root string, document []byte, problems *Problems, elements map[string]ElementReader) (any, bool) {
	if !utf8.Valid(document) {
		problems.Add(root, nil, "text is not valid UTF-8")
		return nil, false
	}
	d := decoder{json: json.NewDecoder(bytes.NewReader(document)), problems: problems, elements: elements}
	d.json.UseNumber()
	value, err := d.parseValue(root, 0)
	if err == nil {
		err = d.expectEnd()
	}
	if err != nil {
		problems.Add(root, nil, "not JSON at byte %d: %v", d.json.InputOffset(), err)
		return nil, false
	}
	return value, true
}

// expectEnd returns an error if there is data after the document.
func (d *decoder) expectEnd() error {
	_, err := d.json.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return errors.New("data after the document")
}

func (d *decoder) parseValue(path string, depth int) (any, error) {
	return d.parseValueOrArray(path, depth, nil)
}

// parseValueOrArray parses a value. If it is an array and element is not nil, the elements
// of the array are passed to element.
func (d *decoder) parseValueOrArray(path string, depth int, element *ElementReader) (any, error) {
	token, err := d.json.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, errTooDeep
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return d.parseObject(path, depth)
		}
		return d.parseArray(path, depth, element)
	case json.Number:
		if strings.ContainsAny(token.String(), ".eE") || token.String() == "-0" {
			d.problems.Add(path, token, "must be written as an integer")
		}
		return token, nil
	default:
		return token, nil
	}
}

func (d *decoder) parseObject(path string, depth int) (any, error) {
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
		valuePath := fieldPath(path, name)
		value, err := d.parseField(name, valuePath, depth+1)
		if err != nil {
			return nil, err
		}
		if _, exists := object[name]; exists {
			d.problems.Add(valuePath, value, "field occurs twice")
			continue
		}
		object[name] = value
	}
	_, err := d.json.Token()
	return object, err
}

// parseField parses the value of a field. Only top-level fields can have an ElementReader.
func (d *decoder) parseField(name, path string, depth int) (any, error) {
	if element, exists := d.elements[name]; exists && depth == 1 {
		return d.parseValueOrArray(path, depth, &element)
	}
	return d.parseValue(path, depth)
}

func (d *decoder) parseArray(path string, depth int, element *ElementReader) (any, error) {
	array := []any{}
	for i := 0; d.json.More(); i++ {
		value, err := d.parseValue(ElementPath(path, i), depth+1)
		if err != nil {
			return nil, err
		}
		if element == nil {
			array = append(array, value)
			continue
		}
		element.process(ElementPath(path, i), value, d.problems)
	}
	_, err := d.json.Token()
	return array, err
}

// fieldPath returns the path of a field of the object at path.
func fieldPath(path, name string) string {
	for _, r := range name {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !isLetter && (r < '0' || r > '9') && r != '_' {
			return path + "[" + quoteValue(name) + "]"
		}
	}
	return path + "." + name
}

// ElementPath returns the path of an element of the array at path.
func ElementPath(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}
