package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
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

func newDrainCommand(output, errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven drain", errorOutput)
	flags := addClientFlags(set)
	wait := set.Bool("wait", false, "return only when the server may be stopped")
	limit := set.Duration("timeout", time.Minute, "how long to wait")
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "micahaven drain [flags] SERVICE SITE SERVER",
		ShortHelp:  "Mark a server as leaving, so that it gives its slices away.",
		LongHelp:   "Example:\n  micahaven drain --node 127.0.0.1:7003 --wait formula old f3",
		FlagSet:    set,
		Exec: func(ctx context.Context, arguments []string) error {
			const argumentCount = 3
			if len(arguments) != argumentCount {
				return usageError("drain: allowed: SERVICE SITE SERVER")
			}
			node, err := flags.client()
			if err != nil {
				return err
			}
			service, site, server := arguments[0], arguments[1], arguments[2]
			if err := markLeaving(ctx, node, service, site, server); err != nil {
				return err
			}
			fmt.Fprintf(output, "%s is leaving\n", server)
			if !*wait {
				return nil
			}
			ctx, cancel := context.WithTimeout(ctx, *limit)
			defer cancel()
			return waitUntilFree(ctx, node, output, service, server)
		},
	}
}

func markLeaving(ctx context.Context, node *client, service, site, server string) error {
	row, revision, err := findRow(ctx, node, service, site)
	if err != nil {
		return err
	}
	if revision == 0 {
		return usageError("row %s/%s does not exist", service, site)
	}
	if slices.Contains(row.Leaving, server) {
		return nil
	}
	row.Leaving = append(row.Leaving, server)
	_, err = node.change(ctx, http.MethodPut, rowPath(&row), row, revision)
	return err
}

const drainPause = 200 * time.Millisecond

// waitUntilFree returns when a server owns and runs nothing, and shows progress.
func waitUntilFree(ctx context.Context, node *client, output io.Writer, service, server string) error {
	shown := -1
	for {
		found, err := findServer(ctx, node, service, server)
		if err == nil && found.MayStop {
			fmt.Fprintf(output, "%s may be stopped\n", server)
			return nil
		}
		if err == nil && found.Slices != shown {
			shown = found.Slices
			fmt.Fprintf(output, "%s still owns %d slices and runs %d requests\n", server, found.Slices, found.Running)
		}
		if !sleep(ctx, drainPause) {
			return usageOrTimeout(server, err)
		}
	}
}

func usageOrTimeout(server string, last error) error {
	if last != nil {
		return last
	}
	return errTimeout(server)
}

func findServer(ctx context.Context, node *client, service, server string) (group.ServerStatus, error) {
	var services []group.Status
	if err := node.get(ctx, "services", &services); err != nil {
		return group.ServerStatus{}, err
	}
	for _, status := range services {
		if status.Service != service {
			continue
		}
		for _, candidate := range status.Servers {
			if string(candidate.ID) == server {
				return candidate, nil
			}
		}
	}
	return group.ServerStatus{}, usageError("server %s of service %s is not known", server, service)
}
