package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/fleet"
	"github.com/almondflow/almondflow/front"
	"github.com/almondflow/almondflow/result"
	"github.com/almondflow/almondflow/settings"
	"github.com/almondflow/almondflow/strictjson"
	"github.com/almondflow/almondflow/table"
)

// checker parses and validates a kind of document and returns a summary of one line.
type checker func(document []byte) (summary string, err error)

func newCheckCommand() *cli.Command {
	return &cli.Command{
		Name:   "check",
		Usage:  "check documents as every daemon does, before they are published",
		Action: showHelp,
		Commands: []*cli.Command{
			newCheckSubcommand("settings", "check settings files of daemons", checkSettings),
			newCheckSubcommand("tables", "check routes and pools", checkTables),
			newCheckSubcommand("front", "check settings files of daemons on the users' platform", checkFront),
			newCheckSubcommand("list", "check lists of entry VMs", checkList),
		},
	}
}

// newCheckSubcommand returns the command that checks a kind of document.
func newCheckSubcommand(name, usage string, check checker) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "FILE...",
		Flags:     []cli.Flag{jsonFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			return runCheck(command, check)
		},
	}
}

// fileCheck is the result of checking a file.
type fileCheck struct {
	File     string        `json:"file"`
	Accepted bool          `json:"accepted"`
	Summary  string        `json:"summary,omitempty"`
	Problems []fileProblem `json:"problems,omitempty"`
}

// fileProblem is a problem of a document at a JSON path.
type fileProblem struct {
	Path   string `json:"path"`
	Value  string `json:"value"`
	Reason string `json:"reason"`
}

// line returns the path, the value if there is one, and the reason.
func (p fileProblem) line() string {
	if p.Value == "" {
		return p.Path + ": " + p.Reason
	}
	return p.Path + " = " + p.Value + ": " + p.Reason
}

// runCheck checks all files and returns the error of the first one that is unreadable or rejected.
func runCheck(command *cli.Command, check checker) error {
	files := command.Args().Slice()
	if len(files) == 0 {
		return oops.Code(result.Usage).Errorf("%s wants at least one FILE", command.FullName())
	}
	results := make([]fileCheck, 0, len(files))
	var firstErr error
	for _, file := range files {
		c, err := checkFile(file, check)
		results = append(results, c)
		if err != nil && firstErr == nil {
			firstErr = err
		}
	}
	if command.Bool("json") {
		if err := writeJSON(command.Root().Writer, results); err != nil {
			return err
		}
		return firstErr
	}
	for _, c := range results {
		writeCheck(command, c)
	}
	return firstErr
}

func writeCheck(command *cli.Command, c fileCheck) {
	w := command.Root().Writer
	if c.Accepted {
		_, _ = fmt.Fprintf(w, "%s: accepted: %s\n", c.File, c.Summary)
		return
	}
	for _, p := range c.Problems {
		_, _ = fmt.Fprintf(w, "%s: %s\n", c.File, p.line())
	}
}

// checkFile reads and checks a file. It returns an error if the file is unreadable or rejected.
func checkFile(file string, check checker) (fileCheck, error) {
	document, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return fileCheck{File: file}, oops.Code(result.FileUnreadable).Wrap(err)
	}
	summary, err := check(document)
	if err == nil {
		return fileCheck{File: file, Accepted: true, Summary: summary}, nil
	}
	c := fileCheck{File: file}
	problems := new(strictjson.ProblemsError)
	if !errors.As(err, &problems) {
		return c, oops.Wrapf(err, "%s", file)
	}
	for _, p := range problems.Problems() {
		c.Problems = append(c.Problems, fileProblem{Path: p.Path(), Value: p.Value(), Reason: p.Reason()})
	}
	return c, oops.Code(problems.Code()).Errorf("%s: rejected with %d problems", file, len(c.Problems))
}

func checkSettings(document []byte) (string, error) {
	s, err := settings.Parse(document)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("entry VM %s in domain %s", s.Name(), s.Domain()), nil
}

func checkTables(document []byte) (string, error) {
	snapshot, err := table.Parse(document)
	if err != nil {
		return "", err
	}
	hosts := 0
	for _, p := range snapshot.Pools() {
		hosts += len(p.Hosts())
	}
	return fmt.Sprintf("version %d, %d routes, %d pools, %d hosts",
		snapshot.Version(), len(snapshot.Routes()), len(snapshot.Pools()), hosts), nil
}

func checkList(document []byte) (string, error) {
	list, err := fleet.ParseList(document)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("version %d, %d entry VMs, domains %v", list.Version(), list.Len(), list.Domains()), nil
}

// checkFront checks settings of a daemon on the users' platform, which the platform generates
// from deploy/entry.json.
func checkFront(document []byte) (string, error) {
	s, err := front.ParseSettings(document)
	if err != nil {
		return "", oops.Code(result.SettingsInvalid).Wrap(err)
	}
	return s.Summary(), nil
}
