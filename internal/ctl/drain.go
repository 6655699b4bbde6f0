package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/group"
)

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
			return lastErrorOrTimeout(server, err)
		}
	}
}

// lastErrorOrTimeout tells why a server did not become free: the error of the last
// question, or that the time was over.
func lastErrorOrTimeout(server string, last error) error {
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

func errTimeout(server string) error {
	return errors.Newf("server %s did not become free in time", server)
}
