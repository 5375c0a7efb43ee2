package operator

import (
	"errors"
	"strconv"
	"strings"
)

// Errors of lines that are no log lines.
var (
	errNoLevel  = errors.New("no level")
	errNoValue  = errors.New("a field without a value")
	errBadQuote = errors.New("a quoted value without an end")
)

// LogField is one key=value pair of a log line.
type LogField struct{ Name, Value string }

// LogLine is a line that a daemon on the users' platform logged.
type LogLine struct {
	Seconds float64 // since the platform's start if it prefixed the line, else since that of the process
	VM      string
	Message string
	Fields  []LogField // all others but the level, in their order
}

// ParseLogLine parses a line. The platform may have put a time in seconds and the name of the VM before
// it; vm is the name otherwise. It returns an error if the text is not a log line.
func ParseLogLine(text, vm string) (*LogLine, error) {
	start := strings.Index(text, "level=")
	if start < 0 {
		return nil, errNoLevel
	}
	fields, err := parseFields(text[start:])
	if err != nil {
		return nil, err
	}
	line := &LogLine{VM: vm}
	for _, f := range fields {
		switch f.Name {
		case "level":
		case "msg":
			line.Message = f.Value
		case "at_ms":
			line.Seconds = parseNumber(f.Value) / 1000
		default:
			line.Fields = append(line.Fields, f)
		}
	}
	if prefix := strings.Fields(text[:start]); len(prefix) == 2 {
		line.Seconds, line.VM = parseNumber(prefix[0]), prefix[1]
	}
	return line, nil
}

// parseNumber returns the value of a number, or zero for any other text.
func parseNumber(text string) float64 {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return number
}

func parseFields(text string) ([]LogField, error) {
	var fields []LogField
	for rest := strings.TrimSpace(text); rest != ""; rest = strings.TrimLeft(rest, " ") {
		name, value, ok := strings.Cut(rest, "=")
		if !ok || strings.Contains(name, " ") {
			return nil, errNoValue
		}
		if !strings.HasPrefix(value, `"`) {
			value, rest, _ = strings.Cut(value, " ")
			fields = append(fields, LogField{name, value})
			continue
		}
		quoted, err := strconv.QuotedPrefix(value)
		if err != nil {
			return nil, errBadQuote
		}
		unquoted, err := strconv.Unquote(quoted)
		if err != nil {
			return nil, errBadQuote
		}
		fields = append(fields, LogField{name, unquoted})
		rest = value[len(quoted):]
	}
	return fields, nil
}

// Field returns the value of a field, or an empty string.
func (l *LogLine) Field(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}
