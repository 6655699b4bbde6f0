package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/group"
)

func newStatusCommand(output, errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven status", errorOutput)
	flags := addClientFlags(set)
	watch := set.Duration("watch", 0, "show again after each such pause, for example 1s")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "micahaven status [flags]",
		ShortHelp:  "Show services, servers, load and which servers may be stopped.",
		LongHelp:   "Example:\n  micahaven status --node 127.0.0.1:7003 --watch 1s",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			node, err := flags.client()
			if err != nil {
				return err
			}
			for {
				if err := showStatus(ctx, node, output, *flags.output); err != nil {
					return err
				}
				if *watch <= 0 || !sleep(ctx, *watch) {
					return nil
				}
			}
		},
	}
}

func showStatus(ctx context.Context, node *client, output io.Writer, format string) error {
	var services []group.Status
	if err := node.get(ctx, "services", &services); err != nil {
		return err
	}
	if format == outputJSON {
		return writeJSON(output, services)
	}
	summary := tablewriter.NewTable(output)
	summary.Header("service", "leader", "members", "generation", "imbalance", "moved", "waiting", "done", "not run", "unknown")
	servers := tablewriter.NewTable(output)
	servers.Header("service", "server", "live", "weight", "slices", "running", "load/s", "state")
	for _, service := range services {
		counters := service.Counters
		if err := summary.Append(service.Service, orDash(service.Leader), strings.Join(service.Members, " "), service.Generation,
			fmt.Sprintf("%.2f", service.Imbalance), counters.Moved, service.Waiting,
			counters.Done, counters.NotRun, counters.Unknown); err != nil {
			return err
		}
		for _, server := range service.Servers {
			if err := servers.Append(service.Service, server.ID, server.Live, fmt.Sprintf("%.3f", server.Weight),
				server.Slices, server.Running, fmt.Sprintf("%.1f", server.LoadPerSec), serverState(server)); err != nil {
				return err
			}
		}
	}
	if err := summary.Render(); err != nil {
		return err
	}
	return servers.Render()
}

func orDash(name string) string {
	if name == "" {
		return "-"
	}
	return name
}

func serverState(server group.ServerStatus) string {
	switch {
	case server.MayStop:
		return "may be stopped"
	case server.Leaving:
		return "leaving"
	case !server.Live:
		return "silent"
	default:
		return "serving"
	}
}

func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}
