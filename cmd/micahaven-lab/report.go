package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/lab/report"
)

func newReportCommand() *ffcli.Command {
	set := flag.NewFlagSet("micahaven-lab report", flag.ContinueOnError)
	results := set.String("results", "out/bench", "directory with the results")
	output := set.String("output", "docs", "directory for the page and the plot")
	note := set.String("note", "", "note on the runs that is added to the page")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "micahaven-lab report [flags]",
		ShortHelp:  "Write a page with tables and a plot from results.",
		FlagSet:    set,
		Exec:       func(context.Context, []string) error { return report.Write(*results, *output, *note) },
	}
}
