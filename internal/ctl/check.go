package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/settings"
	"github.com/micahaven/micahaven/internal/table"
)

func newCheckCommand(output, errorOutput io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "micahaven check <config|table|cluster> [flags]",
		ShortHelp:  "Check a settings file, a table file, or a running system.",
		FlagSet:    newFlagSet("micahaven check", errorOutput),
		Exec: func(context.Context, []string) error {
			return usageError("check: allowed: config FILE, table FILE, cluster")
		},
		Subcommands: []*ffcli.Command{
			newCheckFileCommand(output, errorOutput, "config", "settings file", checkSettings),
			newCheckFileCommand(output, errorOutput, "table", "table file", checkTable),
			newCheckClusterCommand(output, errorOutput),
		},
	}
}

func newCheckFileCommand(output, errorOutput io.Writer, name, what string, check func(string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "micahaven check " + name + " FILE",
		ShortHelp:  "Check a " + what + ".",
		LongHelp:   "Example:\n  micahaven check " + name + " file.yaml",
		FlagSet:    newFlagSet("micahaven check "+name, errorOutput),
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return usageError("check %s: allowed: one FILE", name)
			}
			if err := check(arguments[0]); err != nil {
				return errors.Mark(err, errUsage)
			}
			_, err := fmt.Fprintf(output, "%s: in order\n", arguments[0])
			return err
		},
	}
}

func checkSettings(path string) error {
	_, err := settings.Load(path)
	return err
}

func checkTable(path string) error {
	_, err := readFile(path, &table.Table{})
	return err
}

func newCheckClusterCommand(output, errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven check cluster", errorOutput)
	flags := addClientFlags(set)
	return &ffcli.Command{
		Name:       "cluster",
		ShortUsage: "micahaven check cluster [flags]",
		ShortHelp:  "Check that every slice of every service is served by one live server.",
		LongHelp:   "Example:\n  micahaven check cluster --node 127.0.0.1:7003",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			node, err := flags.client()
			if err != nil {
				return err
			}
			var services []group.Status
			if err := node.get(ctx, "services", &services); err != nil {
				return err
			}
			findings := checkServices(services)
			for _, finding := range findings {
				fmt.Fprintln(output, finding)
			}
			if len(findings) > 0 {
				return errors.Newf("%d findings", len(findings))
			}
			_, err = fmt.Fprintf(output, "%d services: in order\n", len(services))
			return err
		},
	}
}

// checkServices returns what is not as it should be, one line each.
func checkServices(services []group.Status) []string {
	var findings []string
	add := func(format string, arguments ...any) {
		findings = append(findings, fmt.Sprintf(format, arguments...))
	}
	for _, service := range services {
		if !service.Leading {
			add("service %s: no leader answers", service.Service)
			continue
		}
		live := make(map[string]bool)
		for _, server := range service.Servers {
			live[string(server.ID)] = server.Live
		}
		fences := make(map[string]uint32)
		for _, slice := range service.Slices {
			if slice.Phase != "serving" {
				add("service %s, slice %d: %s, wanted serving", service.Service, slice.Slice, slice.Phase)
			}
			if !live[string(slice.Server)] {
				add("service %s, slice %d: owner %s is not live", service.Service, slice.Slice, slice.Server)
			}
			if other, used := fences[slice.Fence]; used {
				add("service %s: slices %d and %d have the same fence %s", service.Service, other, slice.Slice, slice.Fence)
			}
			fences[slice.Fence] = slice.Slice
		}
	}
	return findings
}
