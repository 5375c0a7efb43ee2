package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestDemo(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(run(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 4)
	for _, line := range lines[1:] {
		is.True(strings.HasSuffix(line, " 0")) // no misdelivered responses
	}
}
