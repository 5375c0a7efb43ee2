// Command report turns the output of go test -bench into Markdown tables, one a package.
// Figures of almondflow and of the naive version stand side by side.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// versions are the last parts of the names of benchmarks that are compared.
var versions = []string{"almondflow", "naive"}

var (
	benchmarkLine = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+(.*)$`)
	packageLine   = regexp.MustCompile(`^pkg: .*/([^/]+)$`)
)

// table holds the figures of one package.
type table struct {
	title   string
	rows    []string
	columns []string
	cells   map[string]string // by row, column and version
	paired  bool
}

func newTable(title string) *table {
	return &table{title: title, cells: map[string]string{}}
}

func cellKey(row, column, version string) string {
	return row + "\t" + column + "\t" + version
}

func appendNew(all []string, text string) []string {
	if slices.Contains(all, text) {
		return all
	}
	return append(all, text)
}

// split takes the version off a benchmark's name.
func split(name string) (row, version string) {
	for _, v := range versions {
		if rest, ok := strings.CutSuffix(name, "/"+v); ok {
			return rest, v
		}
	}
	return name, ""
}

func (t *table) add(name, figures string) {
	row, version := split(name)
	t.paired = t.paired || version != ""
	t.rows = appendNew(t.rows, row)
	fields := strings.Fields(figures)
	for i := 0; i+1 < len(fields); i += 2 {
		if version != "" && fields[i+1] == "ns/op" {
			continue // the time of a simulation says nothing about what it simulates
		}
		t.columns = appendNew(t.columns, fields[i+1])
		t.cells[cellKey(row, fields[i+1], version)] = shorten(fields[i])
	}
}

// shorten writes a figure with separators and without needless digits.
func shorten(figure string) string {
	value, err := strconv.ParseFloat(figure, 64)
	if err != nil || value < 1000 {
		return figure
	}
	digits := strconv.FormatFloat(value, 'f', 0, 64)
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

func (t *table) cell(row, column string) string {
	var parts []string
	for _, version := range append([]string{""}, versions...) {
		if figure, ok := t.cells[cellKey(row, column, version)]; ok {
			parts = append(parts, figure)
		}
	}
	return strings.Join(parts, " / ")
}

func (t *table) print(w io.Writer) {
	if len(t.rows) == 0 {
		return
	}
	note := ""
	if t.paired {
		note = " (" + strings.Join(versions, " / ") + ")"
	}
	fmt.Fprintf(w, "Package %s%s:\n\n| Benchmark |", t.title, note)
	for _, column := range t.columns {
		fmt.Fprintf(w, " %s |", column)
	}
	fmt.Fprintf(w, "\n|---|%s\n", strings.Repeat("---|", len(t.columns)))
	for _, row := range t.rows {
		fmt.Fprintf(w, "| %s |", row)
		for _, column := range t.columns {
			fmt.Fprintf(w, " %s |", t.cell(row, column))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w)
}

func main() {
	lines := bufio.NewScanner(os.Stdin)
	current := newTable("")
	for lines.Scan() {
		line := lines.Text()
		if match := packageLine.FindStringSubmatch(line); match != nil {
			current.print(os.Stdout)
			current = newTable(match[1])
		}
		if match := benchmarkLine.FindStringSubmatch(line); match != nil {
			current.add(match[1], match[2])
		}
	}
	current.print(os.Stdout)
	if err := lines.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
