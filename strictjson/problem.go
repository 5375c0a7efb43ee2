package strictjson

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/almondflow/almondflow/result"
)

// maxValueLength is the maximum number of bytes of an invalid value in a message.
const maxValueLength = 80

// Problem describes one thing that is wrong in a document.
type Problem struct {
	path   string
	value  string
	reason string
	code   result.Code
}

// Path returns the JSON path of the problem, such as $.pools[1].hosts[0].port.
func (p *Problem) Path() string { return p.path }

// Value returns the invalid value as JSON, possibly shortened. It is empty if the problem
// is a missing value.
func (p *Problem) Value() string { return p.value }

// Reason returns a message for operators that says what is wrong.
func (p *Problem) Reason() string { return p.reason }

// Code returns the result code of the document, such as result.TablesInvalid.
func (p *Problem) Code() result.Code { return p.code }

// String returns the path, the value and the reason on one line.
func (p *Problem) String() string {
	if p.value == "" {
		return p.path + ": " + p.reason
	}
	return p.path + " = " + p.value + ": " + p.reason
}

// ProblemsError lists all problems found in a document.
type ProblemsError struct {
	code     result.Code
	problems []Problem
}

// Code returns the result code of the document, such as result.TablesInvalid.
func (e *ProblemsError) Code() result.Code { return e.code }

// Problems returns the problems sorted by path. Callers must not change them.
func (e *ProblemsError) Problems() []Problem { return e.problems }

// Error returns the code and the number of problems, followed by one line per problem.
func (e *ProblemsError) Error() string {
	lines := make([]string, 0, len(e.problems)+1)
	lines = append(lines, fmt.Sprintf("%s: %d problems", e.code, len(e.problems)))
	for i := range e.problems {
		lines = append(lines, e.problems[i].String())
	}
	return strings.Join(lines, "\n")
}

// Problems collects the problems of one document.
type Problems struct {
	code        result.Code
	problems    []Problem
	hidesValues bool
}

// HideValues omits the invalid values from all problems added later, for documents that
// contain secrets.
func (p *Problems) HideValues() { p.hidesValues = true }

// NewProblems returns an empty collection with the result code of its problems.
func NewProblems(code result.Code) *Problems {
	return &Problems{code: code}
}

// Add adds a problem. If value is nil, the message contains no value.
func (p *Problems) Add(path string, value any, format string, arguments ...any) {
	if p.hidesValues {
		value = nil
	}
	p.problems = append(p.problems, Problem{
		path:   path,
		value:  quoteValue(value),
		reason: fmt.Sprintf(format, arguments...),
		code:   p.code,
	})
}

// Len returns the number of problems.
func (p *Problems) Len() int { return len(p.problems) }

// Err returns a *ProblemsError with the problems, each listed once, or nil if there are none.
func (p *Problems) Err() error {
	if len(p.problems) == 0 {
		return nil
	}
	sorted := slices.Clone(p.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.path, b.path), strings.Compare(a.reason, b.reason))
	})
	return &ProblemsError{code: p.code, problems: slices.Compact(sorted)}
}

// quoteValue returns a value as JSON, shortened to maxValueLength.
func quoteValue(value any) string {
	if value == nil {
		return ""
	}
	b, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	text := string(b)
	if len(text) > maxValueLength {
		return strings.ToValidUTF8(text[:maxValueLength], "") + "..."
	}
	return text
}
