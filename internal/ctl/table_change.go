package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/operator"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/tablestore"
)

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
