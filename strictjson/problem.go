package strictjson

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/almondflow/almondflow/result"
)

// maxValueLength is the number of bytes of a wrong value that a message quotes.
const maxValueLength = 80

// Problem is one fault of a document.
type Problem struct {
	path   string
	value  string
	reason string
	code   result.Code
}

// Path returns the JSON path of the fault, such as $.pools[1].hosts[0].port.
func (p *Problem) Path() string { return p.path }

// Value returns the wrong value as JSON, shortened. It is empty where a value is missing.
func (p *Problem) Value() string { return p.value }

// Reason returns what is wrong, for operators.
func (p *Problem) Reason() string { return p.reason }

// Code returns the result code of the document's kind.
func (p *Problem) Code() result.Code { return p.code }

// String returns the path, the value and the reason on one line.
func (p *Problem) String() string {
	if p.value == "" {
		return p.path + ": " + p.reason
	}
	return p.path + " = " + p.value + ": " + p.reason
}

// ProblemsError lists every fault found in a document.
type ProblemsError struct {
	code     result.Code
	problems []Problem
}

// Code returns the result code of the document's kind.
func (e *ProblemsError) Code() result.Code { return e.code }

// Problems returns the faults sorted by path. Callers must not change them.
func (e *ProblemsError) Problems() []Problem { return e.problems }

// Error returns one line for each fault.
func (e *ProblemsError) Error() string {
	lines := make([]string, 0, len(e.problems)+1)
	lines = append(lines, fmt.Sprintf("%s: %d problems", e.code, len(e.problems)))
	for i := range e.problems {
		lines = append(lines, e.problems[i].String())
	}
	return strings.Join(lines, "\n")
}

// Problems collects the faults of one document.
type Problems struct {
	code     result.Code
	problems []Problem
	isSecret bool
}

// HideValues keeps the values of a document that holds secrets out of its faults.
func (p *Problems) HideValues() { p.isSecret = true }

// NewProblems returns an empty collection whose faults carry the code.
func NewProblems(code result.Code) *Problems {
	return &Problems{code: code}
}

// Add records a fault. A nil value means that there is none to quote.
func (p *Problems) Add(path string, value any, format string, arguments ...any) {
	if p.isSecret {
		value = nil
	}
	p.problems = append(p.problems, Problem{
		path:   path,
		value:  quote(value),
		reason: fmt.Sprintf(format, arguments...),
		code:   p.code,
	})
}

// Len returns the number of faults recorded.
func (p *Problems) Len() int { return len(p.problems) }

// Err returns a *ProblemsError, or nil when there are no faults.
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

func quote(value any) string {
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
