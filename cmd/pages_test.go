package cmd

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"
)

var (
	// commandPattern matches almondflow commands in inline code and in code blocks.
	commandPattern = regexp.MustCompile("(?m)(?:`|^    (?:\\$ )?)almondflow ([^`\n]+)")
	linkPattern    = regexp.MustCompile(`\]\(([^)#]+)(?:#[^)]*)?\)`)
)

// documentationPages returns the text of all pages of the documentation by their relative
// paths.
func documentationPages(t *testing.T) map[string]string {
	t.Helper()
	is := is.New(t)
	all := map[string]string{}
	for _, pattern := range []string{"../*.md", "../docs/*.md", "../docs/*/*.md"} {
		paths, err := filepath.Glob(pattern)
		is.NoErr(err)
		for _, path := range paths {
			text, err := os.ReadFile(path) //nolint:gosec // a page of this repository
			is.NoErr(err)
			all[path] = string(text)
		}
	}
	return all
}

// TestDocumentedCommandsExist checks that each command and flag in the documentation exists.
func TestDocumentedCommandsExist(t *testing.T) {
	root := newRoot(io.Discard, io.Discard)
	found := 0
	for path, text := range documentationPages(t) {
		for _, match := range commandPattern.FindAllStringSubmatch(text, -1) {
			found++
			if unknown := firstUnknownWord(root, strings.Fields(match[1])); unknown != "" {
				t.Errorf("%s: almondflow %s: there is no %s", path, match[1], unknown)
			}
		}
	}
	is.New(t).True(found > 20)
}

// firstUnknownWord returns the first word of a command line that is neither a command nor
// a flag, or "" if there is none.
func firstUnknownWord(command *cli.Command, words []string) string {
	for _, word := range words {
		if flag, isFlag := strings.CutPrefix(word, "--"); isFlag {
			name, _, _ := strings.Cut(flag, "=")
			if !slices.ContainsFunc(command.Flags, func(f cli.Flag) bool { return slices.Contains(f.Names(), name) }) {
				return word
			}
			continue
		}
		if len(command.Commands) == 0 {
			continue // an argument, not a command
		}
		names := strings.Split(word, `\|`) // alternatives in a table of a page
		for _, name := range names {
			if name != "..." && command.Command(name) == nil {
				return name
			}
		}
		command = command.Command(names[0])
	}
	return ""
}

// TestDocumentationLinksExist checks that relative links lead to existing files.
func TestDocumentationLinksExist(t *testing.T) {
	for path, text := range documentationPages(t) {
		for _, link := range linkPattern.FindAllStringSubmatch(text, -1) {
			if strings.HasPrefix(link[1], "http") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), link[1])); err != nil {
				t.Errorf("%s: %v", path, err)
			}
		}
	}
}
