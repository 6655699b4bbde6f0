package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
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

func newTableSetCommand(output, errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven table set", errorOutput)
	flags := addClientFlags(set)
	revision := set.Int64("revision", -1, "revision the row must be at; by default the one read just before")
	return &ffcli.Command{
		Name:       "set",
		ShortUsage: "micahaven table set [flags] SERVICE SITE FIELD=VALUE...",
		ShortHelp:  "Change fields of a row: weight, connection_limit, slots, leaving.",
		LongHelp: `A row that does not exist is created. Lists are given with commas; "leaving="
empties the list.

Examples:
  micahaven table set --node 127.0.0.1:7003 formula old weight=0
  micahaven table set --node 127.0.0.1:7003 formula new leaving=f7,f8`,
		FlagSet: set,
		Exec: func(ctx context.Context, arguments []string) error {
			const namesCount = 2
			if len(arguments) <= namesCount {
				return usageError("table set: allowed: SERVICE SITE FIELD=VALUE...")
			}
			node, err := flags.client()
			if err != nil {
				return err
			}
			row, current, err := findRow(ctx, node, arguments[0], arguments[1])
			if err != nil {
				return err
			}
			if *revision >= 0 {
				current = *revision
			}
			if err := assignFields(&row, arguments[namesCount:]); err != nil {
				return err
			}
			entry, err := node.change(ctx, http.MethodPut, rowPath(&row), row, current)
			if err != nil {
				return err
			}
			return reportChange(output, *flags.output, entry)
		},
	}
}

func reportChange(output io.Writer, format string, entry *tablestore.Entry) error {
	if format == outputJSON {
		return writeJSON(output, entry)
	}
	_, err := fmt.Fprintf(output, "accepted: change %s at revision %d\n", entry.ID, entry.Revision)
	return err
}

func rowPath(row *table.Row) string {
	return fmt.Sprintf("table/rows/%s/%s", row.Service, row.Site)
}

// findRow returns a row and its revision, or a new row at revision 0.
func findRow(ctx context.Context, node *client, service, site string) (table.Row, int64, error) {
	var view operator.TableView
	if err := node.get(ctx, "table", &view); err != nil {
		return table.Row{}, 0, err
	}
	for _, entry := range view.Rows {
		if string(entry.Row.Service) == service && entry.Row.Site == site {
			return *entry.Row, entry.Revision, nil
		}
	}
	fresh := table.Row{Site: site, ConnectionLimit: 100, Slots: 2}
	fresh.Service = serviceName(service)
	return fresh, 0, nil
}

// assignFields puts FIELD=VALUE arguments into a row.
func assignFields(row *table.Row, assignments []string) error {
	for _, assignment := range assignments {
		field, value, found := strings.Cut(assignment, "=")
		if !found {
			return usageError("argument %q: allowed: FIELD=VALUE", assignment)
		}
		var err error
		switch field {
		case "weight":
			row.Weight, err = strconv.ParseFloat(value, 64)
		case "connection_limit":
			row.ConnectionLimit, err = strconv.Atoi(value)
		case "slots":
			row.Slots, err = strconv.Atoi(value)
		case "leaving":
			row.Leaving = splitList(value)
		default:
			return usageError("field %s: allowed: weight, connection_limit, slots, leaving", field)
		}
		if err != nil {
			return usageError("field %s: %q, allowed: a number", field, value)
		}
	}
	if err := row.Validate(); err != nil {
		return errors.Mark(err, errUsage)
	}
	return nil
}

func splitList(value string) table.NameList {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

func newTableRemoveCommand(output, errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven table remove", errorOutput)
	flags := addClientFlags(set)
	return &ffcli.Command{
		Name:       "remove",
		ShortUsage: "micahaven table remove [flags] SERVICE SITE",
		ShortHelp:  "Remove a row. Its servers lose their slices when their sessions end.",
		LongHelp: `Set the weight to 0 and wait first, so that the slices move without a gap.

Example:
  micahaven table remove --node 127.0.0.1:7003 formula old`,
		FlagSet: set,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 2 {
				return usageError("table remove: allowed: SERVICE SITE")
			}
			node, err := flags.client()
			if err != nil {
				return err
			}
			row, revision, err := findRow(ctx, node, arguments[0], arguments[1])
			if err != nil {
				return err
			}
			entry, err := node.change(ctx, http.MethodDelete, rowPath(&row), nil, revision)
			if err != nil {
				return err
			}
			return reportChange(output, *flags.output, entry)
		},
	}
}

func newTableImportCommand(output, errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven table import", errorOutput)
	flags := addClientFlags(set)
	dryRun := set.Bool("dry-run", false, "only show what would change")
	return &ffcli.Command{
		Name:       "import",
		ShortUsage: "micahaven table import [flags] FILE",
		ShortHelp:  "Write the entries of a file that differ from the table.",
		LongHelp: `FILE is YAML with services and rows, or, when its name ends in .csv, rows only.
Entries that the file does not name stay as they are.

Examples:
  micahaven table import --node 127.0.0.1:7003 table.yaml
  micahaven table import --node 127.0.0.1:7003 --dry-run rows.csv`,
		FlagSet: set,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return usageError("table import: allowed: one FILE")
			}
			node, err := flags.client()
			if err != nil {
				return err
			}
			differences, err := compareWithFile(ctx, node, arguments[0])
			if err != nil {
				return err
			}
			for _, difference := range differences {
				fmt.Fprintln(output, difference)
				if *dryRun {
					continue
				}
				if err := difference.write(ctx, node); err != nil {
					return err
				}
			}
			_, err = fmt.Fprintf(output, "%d entries differ\n", len(differences))
			return err
		},
	}
}

func newTableDiffCommand(output, errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven table diff", errorOutput)
	flags := addClientFlags(set)
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "micahaven table diff [flags] FILE",
		ShortHelp:  "Show the entries of a file that differ from the table.",
		LongHelp:   "Example:\n  micahaven table diff --node 127.0.0.1:7003 table.yaml",
		FlagSet:    set,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return usageError("table diff: allowed: one FILE")
			}
			node, err := flags.client()
			if err != nil {
				return err
			}
			differences, err := compareWithFile(ctx, node, arguments[0])
			if err != nil {
				return err
			}
			for _, difference := range differences {
				fmt.Fprintln(output, difference)
			}
			return nil
		},
	}
}

func newTableExportCommand(output, errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven table export", errorOutput)
	flags := addClientFlags(set)
	format := set.String("format", "yaml", "yaml, or csv for the rows only")
	return &ffcli.Command{
		Name:       "export",
		ShortUsage: "micahaven table export [flags]",
		ShortHelp:  "Print the table so that import reads the same one.",
		LongHelp:   "Example:\n  micahaven table export --node 127.0.0.1:7003 --format csv > rows.csv",
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
			text, err := formatTable(tableOf(view), *format)
			if err != nil {
				return err
			}
			_, err = output.Write(text)
			return err
		},
	}
}

func formatTable(current *table.Table, format string) ([]byte, error) {
	switch format {
	case "yaml":
		return current.FormatYAML()
	case "csv":
		return current.FormatCSV()
	}
	return nil, usageError("flag --format: %q, allowed: yaml or csv", format)
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

// readFile reads a table or, from a CSV file, rows.
func readFile(path string, current *table.Table) (*table.Table, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	var parsed *table.Table
	if strings.HasSuffix(path, ".csv") {
		parsed, err = table.ParseCSV(text, current.Policies)
	} else {
		parsed, err = table.ParseYAML(text)
	}
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return parsed, nil
}
