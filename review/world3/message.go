//go:build review

package main

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

const headEnd = "\r\n\r\n"

// request is what a client asks for.
type request struct {
	id      string
	method  string
	path    string
	bodyLen int
}

func (r request) encode() []byte {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nX-Almondflow-Request-Id: %s\r\nContent-Length: %d%s", r.method, r.path, r.id, r.bodyLen, headEnd)
	return append([]byte(head), bytes.Repeat([]byte("b"), r.bodyLen)...)
}

// parseRequest returns the first request and its size, if all of it has come.
func parseRequest(data []byte) (r request, size int, isComplete bool) {
	head, body, ok := bytes.Cut(data, []byte(headEnd))
	if !ok {
		return r, 0, false
	}
	lines := strings.Split(string(head), "\r\n")
	if words := strings.Fields(lines[0]); len(words) > 1 {
		r.method, r.path = words[0], words[1]
	}
	r.id = header(lines, "X-Almondflow-Request-Id")
	r.bodyLen, _ = strconv.Atoi(header(lines, "Content-Length")) // zero if there is none
	return r, len(head) + len(headEnd) + r.bodyLen, len(body) >= r.bodyLen
}

func header(lines []string, name string) string {
	for _, line := range lines {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}

func response(r request, status int, headers, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d X\r\nX-Almondflow-Request-Id: %s\r\n%sContent-Length: %d%s%s", status, r.id, headers, len(body), headEnd, body)
}

// parseResponse returns the status and size of the first response, if all of it has come.
func parseResponse(data []byte) (status int, id string, size int, isComplete bool) {
	head, body, ok := bytes.Cut(data, []byte(headEnd))
	if !ok {
		return 0, "", 0, false
	}
	lines := strings.Split(string(head), "\r\n")
	if words := strings.Fields(lines[0]); len(words) > 1 {
		status, _ = strconv.Atoi(words[1]) // zero if it is not a number
	}
	length, _ := strconv.Atoi(header(lines, "Content-Length"))
	return status, header(lines, "X-Almondflow-Request-Id"), len(head) + len(headEnd) + length, len(body) >= length
}
