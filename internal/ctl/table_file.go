package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/operator"
	"github.com/micahaven/micahaven/internal/table"
)

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
