// Package demo shows a whole system at work: it starts one, sends requests,
// edits the table, kills a server, and fails if a step does not hold.
package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/examples"
	"github.com/micahaven/micahaven/internal/entry"
	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/lab/cluster"
	"github.com/micahaven/micahaven/internal/lab/load"
	"github.com/micahaven/micahaven/internal/table"
)

// Services are the services of the demonstration.
var Services = []string{"formula", "dispense", "restock"}

// NodeNames are the nodes of the demonstration, each in a zone of its own.
var NodeNames = []string{"n1", "n2", "n3"}

const (
	readyLimit   = 15 * time.Second
	phaseLength  = 3 * time.Second
	phaseRate    = 200
	killAfter    = time.Second
	serversEach  = 2
	demoKeys     = 1000
	demoExponent = 1.1
	demoDeadline = 2 * time.Second
)

// Run carries the demonstration out and reports the first step that failed.
func Run(ctx context.Context, programs cluster.Programs, directory string, output io.Writer) error {
	d := &demo{output: output}
	d.say("starting the stand-in platform, three nodes in three zones and six servers")
	started := time.Now()
	system, err := StartSystem(programs, directory)
	if system != nil {
		defer system.Close()
	}
	if err != nil {
		return err
	}
	d.system = system
	d.say("ready after %v", time.Since(started).Round(time.Millisecond))
	for _, step := range []func(context.Context) error{d.sendThroughEveryNode, d.moveLoad, d.killServer} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.say("stopping everything")
	return d.stopNodes()
}

// StartSystem starts three nodes and two servers for each service, loads the
// table and waits until every slice is served.
func StartSystem(programs cluster.Programs, directory string) (*cluster.Cluster, error) {
	system, err := cluster.Start(programs, directory)
	if err != nil {
		return system, err
	}
	for i, name := range NodeNames {
		if err := system.StartNode(name, fmt.Sprintf("zone-%d", i+1)); err != nil {
			return system, err
		}
	}
	sites := []string{"old", "new"}
	for _, service := range Services {
		for i := range serversEach {
			spec := cluster.ServerSpec{
				ID: fmt.Sprintf("%s-%d", service, i+1), Service: service, Site: sites[i],
				Zone: fmt.Sprintf("zone-%d", i+1), Slots: 2, Work: time.Millisecond,
			}
			if err := system.StartServer(spec); err != nil {
				return system, err
			}
		}
	}
	wanted, err := table.ParseYAML(examples.Tintamezcla)
	if err != nil {
		return system, err
	}
	if err := system.LoadTable(NodeNames[0], wanted); err != nil {
		return system, err
	}
	return system, WaitServed(system, NodeNames[1], Services, serversEach)
}

// wantedMembers is the number of members that a group has by default.
const wantedMembers = 3

// WaitServed waits until every group is whole, every slice of the services is served and the given
// number of servers of each service own slices.
func WaitServed(system *cluster.Cluster, node string, services []string, owners int) error {
	return cluster.Wait(readyLimit, "all slices to be served", func() (bool, error) {
		statuses, err := system.Services(node)
		if err != nil {
			return false, err
		}
		for _, name := range services {
			status, found := Find(statuses, name)
			if !found || !isServed(status, owners) {
				return false, errors.Newf("service %s is not whole yet: %s", name, summarize(status))
			}
		}
		return true, nil
	})
}

// summarize tells what a service lacks, for the error of a start that failed.
func summarize(status group.Status) string {
	phases := make(map[string]int)
	for _, slice := range status.Slices {
		phases[slice.Phase+" at "+string(slice.Server)]++
	}
	return fmt.Sprintf("leader %q, members %v, slices %v, servers %+v", status.Leader, status.Members, phases, status.Servers)
}

// Find returns the status of one service.
func Find(statuses []group.Status, service string) (group.Status, bool) {
	at := slices.IndexFunc(statuses, func(s group.Status) bool { return s.Service == service })
	if at < 0 {
		return group.Status{}, false
	}
	return statuses[at], true
}

func isServed(status group.Status, owners int) bool {
	owning := make(map[string]bool)
	for _, slice := range status.Slices {
		if slice.Phase != "serving" {
			return false
		}
		owning[string(slice.Server)] = true
	}
	isWhole := len(status.Members) == min(wantedMembers, len(NodeNames))
	return isWhole && len(status.Slices) > 0 && len(owning) == owners
}

type demo struct {
	system *cluster.Cluster
	output io.Writer
}

func (d *demo) say(format string, arguments ...any) {
	fmt.Fprintf(d.output, "== "+format+"\n", arguments...)
}

func (d *demo) load(seed uint64) load.Options {
	options := load.Options{
		Rate: phaseRate, Duration: phaseLength, Keys: demoKeys, Exponent: demoExponent,
		Deadline: demoDeadline, Seed: seed,
	}
	for _, name := range NodeNames {
		options.Targets = append(options.Targets, d.system.CallerURL(name))
	}
	for _, service := range Services {
		options.Mixes = append(options.Mixes, load.Mix{Service: service, Share: 1, WriteShare: 0.3})
	}
	return options
}

func (d *demo) sendThroughEveryNode(ctx context.Context) error {
	d.say("requests of all services through each node")
	for i, name := range NodeNames {
		options := d.load(uint64(i + 1))
		options.Duration = time.Second
		options.Targets = []string{d.system.CallerURL(name)}
		report := load.Run(ctx, options)
		d.show(name, report)
		if err := allDone(report); err != nil {
			return errors.Wrapf(err, "through node %s", name)
		}
	}
	return nil
}

func (d *demo) show(what string, report *load.Report) {
	fmt.Fprintf(d.output, "   %s: done %d, not run %d, unknown %d, p50 %v, p99 %v\n", what,
		report.Count(entry.OutcomeDone), report.Count(entry.OutcomeNotRun), report.Count(entry.OutcomeUnknown),
		report.Quantile(50), report.Quantile(99))
}

func allDone(report *load.Report) error {
	for _, sample := range report.Samples {
		if sample.Outcome != entry.OutcomeDone || sample.Wrong != "" {
			return errors.Newf("request failed: %+v", sample)
		}
	}
	return nil
}

// moveLoad takes all weight from the old site of one service under load.
func (d *demo) moveLoad(ctx context.Context) error {
	d.say("editing the row formula/old: weight 1 -> 0, under load")
	if err := d.showOwners("formula"); err != nil {
		return err
	}
	finished := make(chan *load.Report, 1)
	go func() { finished <- load.Run(ctx, d.load(10)) }()
	time.Sleep(killAfter)
	row, revision, err := d.system.Row("n2", "formula", "old")
	if err != nil {
		return err
	}
	row.Weight = 0
	edited := time.Now()
	if _, err := d.system.PutRow("n2", row, revision); err != nil {
		return err
	}
	if err := WaitServed(d.system, "n3", []string{"formula"}, 1); err != nil {
		return err
	}
	fmt.Fprintf(d.output, "   in force and moved after %v\n", time.Since(edited).Round(time.Millisecond))
	report := <-finished
	d.show("during the move", report)
	if err := d.showOwners("formula"); err != nil {
		return err
	}
	return allDone(report)
}

func (d *demo) showOwners(service string) error {
	statuses, err := d.system.Services("n1")
	if err != nil {
		return err
	}
	status, _ := Find(statuses, service)
	for _, server := range status.Servers {
		fmt.Fprintf(d.output, "   %s owns %d of %d slices of %s\n", server.ID, server.Slices, len(status.Slices), service)
	}
	return nil
}

// killServer kills one server under load and measures how long its keys were
// away. Requests that were running on it may end as unknown.
func (d *demo) killServer(ctx context.Context) error {
	d.say("killing server dispense-1 with SIGKILL under load")
	if err := d.showOwners("dispense"); err != nil {
		return err
	}
	finished := make(chan *load.Report, 1)
	go func() { finished <- load.Run(ctx, d.load(20)) }()
	time.Sleep(killAfter)
	killed := time.Now()
	d.system.Servers["dispense-1"].Kill()
	if err := WaitServed(d.system, "n1", []string{"dispense"}, 1); err != nil {
		return err
	}
	fmt.Fprintf(d.output, "   its keys were served again after %v\n", time.Since(killed).Round(time.Millisecond))
	report := <-finished
	d.show("around the loss", report)
	for _, sample := range report.Samples {
		if sample.Outcome != entry.OutcomeDone {
			fmt.Fprintf(d.output, "   failed: %s %s: %s (%s) after %v\n", sample.Service, sample.Key, sample.Outcome, sample.Reason, sample.Took)
		}
		if sample.Wrong != "" || sample.Outcome == entry.OutcomeNotRun {
			return errors.Newf("request failed: %+v", sample)
		}
	}
	return d.showOwners("dispense")
}

func (d *demo) stopNodes() error {
	for name, process := range d.system.Nodes {
		if !process.Stop() {
			return errors.Newf("node %s did not stop by itself", name)
		}
	}
	return nil
}
