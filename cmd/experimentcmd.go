package cmd

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/experiment"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/result"
)

func newExperimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "simulate patterns of load and faults and compare policies",
		Description: "Each pattern is simulated in virtual time with the baseline policy and with the policy\n" +
			"of the daemons. No packets are sent. The same seed gives the same results.",
		ArgsUsage: "[PATTERN...]",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the random choices", Value: 1},
			&cli.IntFlag{Name: "domains", Usage: "simulate `N` failure domains", Value: experiment.DefaultSize().Domains},
			&cli.IntFlag{Name: "vms", Usage: "simulate `N` entry VMs per domain", Value: experiment.DefaultSize().VMs},
			&cli.IntFlag{Name: "targets", Usage: "simulate `N` targets per domain", Value: experiment.DefaultSize().Targets},
			jsonFlag(),
		},
		Action: runExperiment,
	}
}

// namedPolicy is a policy with its name in settings and reports.
type namedPolicy struct {
	name   string
	policy inband.Policy
}

func policies() []namedPolicy {
	return []namedPolicy{{"naive", inband.Naive{}}, {"local", inband.Local{}}}
}

func runExperiment(_ context.Context, command *cli.Command) error {
	size := experiment.DefaultSize()
	size.Domains, size.VMs, size.Targets = command.Int("domains"), command.Int("vms"), command.Int("targets")
	if size.Domains < 2 || size.VMs < 1 || size.Targets < 1 {
		return oops.Code(result.Usage).Errorf("experiment wants at least 2 domains, 1 VM and 1 target")
	}
	patterns, err := selectPatterns(command.Args().Slice())
	if err != nil {
		return err
	}
	var reports []experiment.Report
	for _, pattern := range patterns {
		for _, p := range policies() {
			reports = append(reports, experiment.Run(size, pattern, p.name, p.policy, command.Uint64("seed")))
		}
	}
	if command.Bool("json") {
		return writeJSON(command.Root().Writer, reports)
	}
	return writeReports(command.Root().Writer, reports)
}

// selectPatterns returns the patterns with the given names, or all if there are no names.
func selectPatterns(names []string) ([]experiment.Pattern, error) {
	all := experiment.Patterns()
	if len(names) == 0 {
		return all, nil
	}
	var selected []experiment.Pattern
	for _, name := range names {
		i := slices.IndexFunc(all, func(p experiment.Pattern) bool { return p.Name == name })
		if i < 0 {
			return nil, oops.Code(result.Usage).Errorf("there is no pattern %q; patterns are: %s", name, patternNames(all))
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}

func patternNames(patterns []experiment.Pattern) string {
	var names []string
	for _, p := range patterns {
		names = append(names, p.Name)
	}
	return strings.Join(names, ", ")
}

func writeReports(w io.Writer, reports []experiment.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "pattern\tpolicy\tasked\tlate\tfailed\tcredit\tp99_ms\tresets\tbroken\timbalance")
	for _, r := range reports {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%.4f\t%d\t%d\t%d\t%.2f\n",
			r.Pattern, r.Policy, r.Requests, r.Late, r.Failed, r.Credit, r.P99, r.Resets, r.UnexplainedResets, r.Imbalance)
	}
	return t.Flush()
}
