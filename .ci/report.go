// Command report reads the output of go test -bench and prints a Markdown table for each
// package. The results of almondflow and of the baseline (naive) share a cell.
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

// versions are the suffixes of sub-benchmark names whose results are compared.
var versions = []string{"almondflow", "naive"}

var (
	benchmarkLine = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+(.*)$`)
	packageLine   = regexp.MustCompile(`^pkg: .*/([^/]+)$`)
)

// table holds the benchmark results of a package.
type table struct {
	title   string
	rows    []string
	columns []string
	cells   map[string]string // by row, column and version
	paired  bool              // some benchmark names end with a version
}

func newTable(title string) *table {
	return &table{title: title, cells: map[string]string{}}
}

func cellKey(row, column, version string) string {
	return row + "\t" + column + "\t" + version
}

// appendUnique appends an item unless the list contains it already.
func appendUnique(items []string, item string) []string {
	if slices.Contains(items, item) {
		return items
	}
	return append(items, item)
}

// splitVersion splits the version off a benchmark name. The version is empty if the name has
// none.
func splitVersion(name string) (row, version string) {
	for _, v := range versions {
		if rest, ok := strings.CutSuffix(name, "/"+v); ok {
			return rest, v
		}
	}
	return name, ""
}

// add adds a benchmark result. metrics are alternating values and units.
func (t *table) add(name, metrics string) {
	row, version := splitVersion(name)
	t.paired = t.paired || version != ""
	t.rows = appendUnique(t.rows, row)
	fields := strings.Fields(metrics)
	for i := 0; i+1 < len(fields); i += 2 {
		if version != "" && fields[i+1] == "ns/op" {
			continue // the run time of a simulation does not measure the simulated system
		}
		t.columns = appendUnique(t.columns, fields[i+1])
		t.cells[cellKey(row, fields[i+1], version)] = formatValue(fields[i])
	}
}

// formatValue formats values from 1000 on as integers with thousands separators. It returns
// other text unchanged.
func formatValue(text string) string {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || value < 1000 {
		return text
	}
	digits := strconv.FormatFloat(value, 'f', 0, 64)
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

// cell returns the values of all versions, separated by slashes.
func (t *table) cell(row, column string) string {
	var parts []string
	for _, version := range append([]string{""}, versions...) {
		if value, ok := t.cells[cellKey(row, column, version)]; ok {
			parts = append(parts, value)
		}
	}
	return strings.Join(parts, " / ")
}

// print writes the table as Markdown, or nothing if it is empty.
func (t *table) print(w io.Writer) {
	if len(t.rows) == 0 {
		return
	}
	versionNote := ""
	if t.paired {
		versionNote = " (" + strings.Join(versions, " / ") + ")"
	}
	fmt.Fprintf(w, "Package %s%s:\n\n| Benchmark |", t.title, versionNote)
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
	scanner := bufio.NewScanner(os.Stdin)
	current := newTable("")
	for scanner.Scan() {
		line := scanner.Text()
		if match := packageLine.FindStringSubmatch(line); match != nil {
			current.print(os.Stdout)
			current = newTable(match[1])
		}
		if match := benchmarkLine.FindStringSubmatch(line); match != nil {
			current.add(match[1], match[2])
		}
	}
	current.print(os.Stdout)
	if err := scanner.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
