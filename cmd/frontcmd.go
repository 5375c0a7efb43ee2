package cmd

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/almondflow/almondflow/front"
	"github.com/almondflow/almondflow/inband"
	"github.com/almondflow/almondflow/operator"
	"github.com/almondflow/almondflow/result"
)

func newFrontCommand() *cli.Command {
	return &cli.Command{
		Name:   "front",
		Usage:  "query a running daemon on the users' platform (almondflow-entry)",
		Action: showHelp,
		Commands: []*cli.Command{
			{Name: "status", Usage: "show view, siblings and targets", Flags: []cli.Flag{daemonFlag(), jsonFlag()}, Action: runFrontStatus},
			{
				Name:      "explain",
				Usage:     "show where a flow goes and why",
				ArgsUsage: "CLIENT:PORT SERVICE:PORT",
				Flags:     []cli.Flag{daemonFlag(), jsonFlag()},
				Action:    runFrontExplain,
			},
			{Name: "audit", Usage: "list the state changes that the daemon recorded", Flags: []cli.Flag{daemonFlag(), jsonFlag()}, Action: runFrontAudit},
			newFrontTraceCommand(),
		},
	}
}

func frontClient(command *cli.Command) *operator.FrontClient {
	return operator.NewFrontClient(command.String("daemon"))
}

func runFrontStatus(ctx context.Context, command *cli.Command) error {
	status, err := frontClient(command).Status(ctx)
	if err != nil {
		return err
	}
	return writeAnswer(command, &status, writeFrontStatus)
}

func writeFrontStatus(w io.Writer, s *front.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "name\t%s\ndomain\t%s\nready\t%v\nuptime_ms\t%d\nreader_rank\t%d\n", s.Name, s.Domain, s.Ready, s.UptimeMS, s.ReaderRank)
	if s.View != nil {
		_, _ = fmt.Fprintf(t, "tables_version\t%d\nrevision\t%v\nview_age_ms\t%d\n", s.View.Version, s.View.Revision, s.View.AgeMS)
	}
	for _, m := range s.Drains {
		_, _ = fmt.Fprintf(t, "domain %s\tdrained since revision %d\n", m.Domain, m.Revision)
	}
	writeBoundRoutes(t, s.Bound)
	writeAdmissions(t, s.Admissions)
	for _, c := range s.Siblings {
		_, _ = fmt.Fprintf(t, "sibling %s\t%s, heard %d ms ago\n", c.Address, c.Domain, c.AgeMS)
	}
	for _, h := range s.Targets {
		_, _ = fmt.Fprintf(t, "target %s\t%s, %s, %s, %d flows, %d busy, %d silent\n", h.ID, h.Service, h.Domain, h.State, h.Flows, h.Busy, h.Timeouts)
	}
	for i := range s.Pools {
		p := &s.Pools[i]
		_, _ = fmt.Fprintf(t, "pool %s\t%s, %d targets, %d slots, %.1f busy, %.1f finished/s, %.0f flows, known %d ms ago\n",
			p.ID.Service, p.ID.Domain, p.Targets, p.Slots, p.Work.Busy, p.Work.Finished, p.Work.Flows, p.Age)
	}
	return t.Flush()
}

// boundTo says which regions flows are bound to.
func boundTo(regions []string) string { return "bound to " + strings.Join(regions, ", ") }

// writeBoundRoutes writes the routes whose flows may go to some regions only.
func writeBoundRoutes(w io.Writer, routes []inband.BoundRoute) {
	for _, r := range routes {
		_, _ = fmt.Fprintf(w, "route %s\t%s, %d targets\n", r.Name, boundTo(r.AllowedRegions), r.Targets)
	}
}

// writeAdmissions writes the refused share of each priority of the pools.
func writeAdmissions(w io.Writer, pools []inband.AdmissionStatus) {
	for _, a := range pools {
		bound := ""
		if len(a.AllowedRegions) > 0 {
			bound = boundTo(a.AllowedRegions) + ", "
		}
		for _, s := range a.Shares {
			_, _ = fmt.Fprintf(w, "refused %s priority %d\t%s%.2f of requests, %.2f of openings, %d so far, "+
				"response time %.0f ms, %.0f busy of %d slots, news %d ms old\n",
				a.Service, s.Priority, bound, s.Refused, s.RefusedOpenings, s.Count, a.ResponseTimeMS, a.Busy, a.Slots, a.NewsAgeMS)
		}
	}
}

func runFrontExplain(ctx context.Context, command *cli.Command) error {
	key, err := parseFlowKey(command.Args())
	if err != nil {
		return err
	}
	explanation, err := frontClient(command).Explain(ctx, key)
	if err != nil {
		return err
	}
	err = writeAnswer(command, &explanation, writeFrontExplanation)
	if err == nil && explanation.Route == "" {
		return oops.Code(result.NotFound).Errorf("no route to %s", key.Destination)
	}
	return err
}

// parseFlowKey parses the client and service addresses of a flow.
func parseFlowKey(arguments cli.Args) (inband.Key, error) {
	client, clientErr := netip.ParseAddrPort(arguments.Get(0))
	service, serviceErr := netip.ParseAddrPort(arguments.Get(1))
	if arguments.Len() != 2 || clientErr != nil || serviceErr != nil {
		return inband.Key{}, oops.Code(result.Usage).Errorf("explain wants CLIENT:PORT SERVICE:PORT")
	}
	return inband.Key{Client: client, Destination: service}, nil
}

func writeFrontExplanation(w io.Writer, explanation *inband.Explanation) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "route\t%s\ntarget\t%s\nstate\t%s\npriority\t%d\n",
		explanation.Route, explanation.Target, explanation.State, explanation.Priority)
	if len(explanation.AllowedRegions) > 0 {
		_, _ = fmt.Fprintf(t, "regions\t%s\n", boundTo(explanation.AllowedRegions))
	}
	for _, domain := range explanation.DrainedDomains {
		_, _ = fmt.Fprintf(t, "domain %s\tdrained\n", domain)
	}
	writeAdmissions(t, explanation.Admissions)
	for _, c := range explanation.Candidates {
		_, _ = fmt.Fprintf(t, "candidate %s\t%s, cost %.2f, %d flows, %d busy, suspect %v, cut %v, bad %.2f\n",
			c.ID, c.Domain, c.Cost, c.Flows, c.Busy, c.Suspect, c.Partitioned, c.FailureRate)
	}
	return t.Flush()
}

func runFrontAudit(ctx context.Context, command *cli.Command) error {
	records, err := frontClient(command).Audit(ctx)
	if err != nil {
		return err
	}
	return writeAnswer(command, records, writeFrontAudit)
}

func writeFrontAudit(w io.Writer, records []front.AuditRecord) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "at_ms\tsubject\tbefore\tafter\tsource")
	for _, r := range records {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", r.AtMS, r.Subject, r.Before, r.After, r.Source)
	}
	return t.Flush()
}
