// Package report turns the results of experiments into a page
// with tables and a plot.
package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/micahaven/micahaven/internal/lab/experiment"
)

const (
	pageName = "MEASUREMENTS.md"
	plotName = "away.png"
)

// Write reads every results.json below a directory, and writes the page and its
// plot into another. The note, if any, says what was
// special about the runs.
func Write(results, output, note string) error {
	all, err := readResults(results)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		return errors.Newf("directory %s: no results.json, allowed: the output of the experiment command", results)
	}
	var page strings.Builder
	page.WriteString(header)
	if note != "" {
		page.WriteString(note + "\n\n")
	}
	writeRuns(&page, all)
	writeAway(&page, all)
	if err := plotAway(all, filepath.Join(output, plotName)); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(filepath.Join(output, pageName), []byte(page.String()), 0o600), "write page")
}

const header = `# Measurements

Written by ` + "`micahaven-lab report`" + `, the last step of ` + "`make bench`" + `. All processes ran on one
machine of eight cores over loopback: platform, three nodes and the servers of the deployment, with
the load in the same machine. "Away" is the time from a failure to the first answer, per slice that
the failure took away, as callers saw it.

`

func readResults(directory string) ([]*experiment.Result, error) {
	var all []*experiment.Result
	err := filepath.WalkDir(directory, func(path string, _ os.DirEntry, err error) error {
		if err != nil || filepath.Base(path) != "results.json" {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var read []*experiment.Result
		if err := json.Unmarshal(text, &read); err != nil {
			return errors.Wrapf(err, "results %s", path)
		}
		all = append(all, read...)
		return nil
	})
	slices.SortStableFunc(all, func(a, b *experiment.Result) int {
		return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), cmp.Compare(a.Faults, b.Faults),
			cmp.Compare(a.Requests, b.Requests), cmp.Compare(a.Seed, b.Seed))
	})
	return all, err
}

func writeRuns(page *strings.Builder, all []*experiment.Result) {
	page.WriteString("## Runs\n\n")
	page.WriteString("| deployment | faults | outage | seed | requests | done | not run | unknown | p50 | p99 | node CPU a request | imbalance | violations |\n")
	page.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	violations := 0
	for _, result := range all {
		violations += len(result.Violations)
		fmt.Fprintf(page, "| %s | %s | %v | %d | %d | %d | %d | %d | %v | %v | %s | %.2f | %d |\n",
			result.Deployment, result.Faults, result.Outage, result.Seed, result.Requests,
			result.Done, result.NotRun, result.Unknown, round(result.P50), round(result.P99),
			cpu(result.NodeCPUMicros), worst(result.Imbalance), len(result.Violations))
	}
	fmt.Fprintf(page, "\n%d runs, %d violations.\n\n", len(all), violations)
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

func cpu(micros float64) string {
	if micros == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f µs", micros)
}

func worst(imbalance map[string]float64) float64 {
	largest := 0.0
	for _, value := range imbalance {
		largest = max(largest, value)
	}
	return largest
}

// awaySet gathers the away times of all runs of one kind.
type awaySet struct {
	name  string
	times []time.Duration
	// maxima holds the greatest time of each run.
	maxima []time.Duration
}

func awaySets(all []*experiment.Result) []*awaySet {
	var sets []*awaySet
	byName := make(map[string]*awaySet)
	for _, result := range all {
		if len(result.Away) == 0 {
			continue
		}
		name := result.Deployment + " " + result.Faults
		set := byName[name]
		if set == nil {
			set = &awaySet{name: name}
			byName[name] = set
			sets = append(sets, set)
		}
		set.times = append(set.times, result.Away...)
		set.maxima = append(set.maxima, experiment.Quantile(result.Away, 1))
	}
	return sets
}

func writeAway(page *strings.Builder, all []*experiment.Result) {
	page.WriteString("## Away times\n\n")
	page.WriteString("| deployment and faults | runs | slices | median | 99 in 100 | longest of each run: min, median, max |\n")
	page.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, set := range awaySets(all) {
		fmt.Fprintf(page, "| %s | %d | %d | %v | %v | %v, %v, %v |\n", set.name, len(set.maxima), len(set.times),
			round(experiment.Quantile(set.times, 0.5)), round(experiment.Quantile(set.times, 0.99)),
			round(experiment.Quantile(set.maxima, 0)), round(experiment.Quantile(set.maxima, 0.5)), round(experiment.Quantile(set.maxima, 1)))
	}
	page.WriteString("\n![Away times](" + plotName + ")\n\n")
}

func plotAway(all []*experiment.Result, path string) error {
	drawing := plot.New()
	drawing.Title.Text = "Time until a slice is served again"
	drawing.Y.Label.Text = "milliseconds"
	drawing.Y.Min = 0
	var names []string
	for i, set := range awaySets(all) {
		values := make(plotter.Values, 0, len(set.times))
		for _, away := range set.times {
			values = append(values, float64(away.Milliseconds()))
		}
		box, err := plotter.NewBoxPlot(vg.Points(18), float64(i), values)
		if err != nil {
			return errors.Wrapf(err, "plot %s", set.name)
		}
		drawing.Add(box)
		names = append(names, strings.ReplaceAll(set.name, " ", "\n"))
	}
	if len(names) == 0 {
		return nil
	}
	drawing.NominalX(names...)
	const widthPerBox, height = 90, 320
	width := vg.Points(float64(widthPerBox*len(names) + widthPerBox))
	return errors.Wrap(drawing.Save(width, vg.Points(height), path), "save plot")
}
