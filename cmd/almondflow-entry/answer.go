package main

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/almondflow/almondflow/front"
)

// Exit codes of the options, as those of the command almondflow.
const (
	exitOK              = 0
	exitUsage           = 2
	exitSettingsInvalid = 10
)

const usage = `Usage: almondflow-entry [OPTION]

Without an option it runs the daemon of an entry VM, with the settings file that the
environment variable ` + settingsVariable + ` names. SIGTERM makes it leave gracefully,
SIGHUP read the file again.

Options:
  --check FILE  check a settings file as the daemon does, and exit
  --version     print the version and exit
  --help        print this text and exit
`

// answer handles the options, which do not run the daemon, and returns the exit code. It is written by
// hand, as a library for command lines takes longer to start than the daemon itself.
func answer(arguments []string, out, errOut io.Writer) int {
	switch {
	case len(arguments) == 1 && (arguments[0] == "--help" || arguments[0] == "-h"):
		_, _ = io.WriteString(out, usage) // nobody is left to tell of a failure
		return exitOK
	case len(arguments) == 1 && arguments[0] == "--version":
		_, _ = fmt.Fprintf(out, "almondflow-entry %s %s %s/%s\n", version(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
		return exitOK
	case len(arguments) == 2 && arguments[0] == "--check":
		return check(arguments[1], out, errOut)
	default:
		_, _ = fmt.Fprintf(errOut, "almondflow-entry: unknown arguments %q\n%s", arguments, usage)
		return exitUsage
	}
}

// check checks a settings file and reports the result.
func check(path string, out, errOut io.Writer) int {
	settings, err := front.LoadSettings(path)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", path, err)
		return exitSettingsInvalid
	}
	_, _ = fmt.Fprintf(out, "%s: accepted: %s\n", path, settings.Summary())
	return exitOK
}

// version returns the version of the module, or "unknown" if the program was built without it.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
