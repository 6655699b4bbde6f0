package ctl

import (
	"context"
	"io"
	"strings"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/operator"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/tablestore"
)

func newTableCommand(output, errorOutput io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "table",
		ShortUsage: "micahaven table <get|set|remove|import|export|diff|history> [flags]",
		ShortHelp:  "Read and change the operators' table.",
		FlagSet:    newFlagSet("micahaven table", errorOutput),
		Exec: func(context.Context, []string) error {
			return usageError("table: allowed: get, set, remove, import, export, diff, history")
		},
		Subcommands: []*ffcli.Command{
			newTableGetCommand(output, errorOutput),
			newTableSetCommand(output, errorOutput),
			newTableRemoveCommand(output, errorOutput),
			newTableImportCommand(output, errorOutput),
			newTableExportCommand(output, errorOutput),
			newTableDiffCommand(output, errorOutput),
			newTableHistoryCommand(output, errorOutput),
		},
	}
}

func newTableGetCommand(output, errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven table get", errorOutput)
	flags := addClientFlags(set)
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "micahaven table get [flags]",
		ShortHelp:  "Show the table with the revision of each entry.",
		LongHelp:   "Example:\n  micahaven table get --node 127.0.0.1:7003",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			node, err := flags.client()
			if err != nil {
				return err
			}
			var view operator.TableView
			if err := node.get(ctx, "table", &view); err != nil {
				return err
			}
			if *flags.output == outputJSON {
				return writeJSON(output, view)
			}
			return writeTable(output, view)
		},
	}
}

func writeTable(output io.Writer, view operator.TableView) error {
	services := tablewriter.NewTable(output)
	services.Header("service", "slices", "repeatable", "priority", "timeout ms", "queue", "tolerance", "revision", "author")
	for _, entry := range view.Services {
		policy := entry.Policy
		if err := services.Append(policy.Service, policy.Slices, strings.Join(policy.Repeatable, " "), policy.Priority,
			policy.TimeoutMillis, policy.QueueLimit, policy.Tolerance, entry.Revision, entry.Author); err != nil {
			return err
		}
	}
	if err := services.Render(); err != nil {
		return err
	}
	rows := tablewriter.NewTable(output)
	rows.Header("service", "site", "weight", "connections", "slots", "leaving", "revision", "author")
	for _, entry := range view.Rows {
		row := entry.Row
		if err := rows.Append(row.Service, row.Site, row.Weight, row.ConnectionLimit, row.Slots,
			strings.Join(row.Leaving, " "), entry.Revision, entry.Author); err != nil {
			return err
		}
	}
	return rows.Render()
}

func tableOf(view operator.TableView) *table.Table {
	current := &table.Table{}
	for _, entry := range view.Services {
		current.Policies = append(current.Policies, *entry.Policy)
	}
	for _, entry := range view.Rows {
		current.Rows = append(current.Rows, *entry.Row)
	}
	current.Sort()
	return current
}

func newTableHistoryCommand(output, errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven table history", errorOutput)
	flags := addClientFlags(set)
	return &ffcli.Command{
		Name:       "history",
		ShortUsage: "micahaven table history [flags]",
		ShortHelp:  "Show who changed what and when.",
		LongHelp:   "Example:\n  micahaven table history --node 127.0.0.1:7003",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			node, err := flags.client()
			if err != nil {
				return err
			}
			var entries []tablestore.Entry
			if err := node.get(ctx, "table/history", &entries); err != nil {
				return err
			}
			if *flags.output == outputJSON {
				return writeJSON(output, entries)
			}
			rows := tablewriter.NewTable(output)
			rows.Header("at", "author", "entry", "change", "revision", "deleted")
			for _, entry := range entries {
				at := entry.At.Format("2006-01-02 15:04:05")
				key := strings.TrimPrefix(entry.Key(), table.Prefix)
				if err := rows.Append(at, entry.Author, key, entry.ID, entry.Revision, entry.Deleted); err != nil {
					return err
				}
			}
			return rows.Render()
		},
	}
}
