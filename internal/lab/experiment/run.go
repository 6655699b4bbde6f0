package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/micahaven/micahaven/internal/entry"
	"github.com/micahaven/micahaven/internal/lab/cluster"
	"github.com/micahaven/micahaven/internal/lab/load"
)

// Options describes one run.
type Options struct {
	Deployment Deployment
	// Faults happen together, at about the same time.
	Faults []Fault
	// Outage is how long freezes, cuts and outages last.
	Outage time.Duration
	Rate   float64
	Seed   uint64
	// Settle is how long the load goes on after the faults.
	Settle time.Duration
	// KeepLogs leaves the directory with settings and logs behind.
	KeepLogs bool
}

// Result is what one run showed.
type Result struct {
	Deployment string        `json:"deployment"`
	Faults     string        `json:"faults"`
	Seed       uint64        `json:"seed"`
	Outage     time.Duration `json:"outage"`
	Violations []Violation   `json:"violations"`
	Requests   int           `json:"requests"`
	Done       int           `json:"done"`
	NotRun     int           `json:"not_run"`
	Unknown    int           `json:"unknown"`
	// Reasons counts the answers other than done, by outcome and reason.
	Reasons map[string]int `json:"reasons,omitempty"`
	P50     time.Duration  `json:"p50"`
	P99     time.Duration  `json:"p99"`
	// Away holds, for each slice that a fault took away, the time until the
	// first request for it was answered.
	Away []time.Duration `json:"away"`
	// Drained holds the time that each leaving server took to become free.
	Drained []time.Duration `json:"drained,omitempty"`
	// NodeCPUMicros is the processor time of all nodes together per request, in
	// microseconds; 0 when a node was replaced during the run.
	NodeCPUMicros float64 `json:"node_cpu_micros_per_request"`
	// Imbalance is the largest over the mean load per weight at the end, by
	// service, as the leaders see it.
	Imbalance map[string]float64 `json:"imbalance"`
	// Moved counts the slices that were given to a server, by service.
	Moved map[string]int `json:"moved"`
	// InForce holds the time that each accepted change took to reach all nodes.
	InForce []time.Duration `json:"in_force"`
}

const (
	serverWork  = 2 * time.Millisecond
	warmUp      = 500 * time.Millisecond
	maxStagger  = 300 * time.Millisecond
	runKeys     = 20000
	runExponent = 1.05
	runDeadline = 3 * time.Second
)

// Run carries one run out.
func Run(ctx context.Context, programs cluster.Programs, options Options) (*Result, error) {
	system, err := options.Deployment.start(programs)
	if system != nil {
		defer func() {
			system.Close()
			if err == nil && !options.KeepLogs {
				// Logs are of use after a failure only.
				_ = os.RemoveAll(system.Directory)
			}
		}()
	}
	if err != nil {
		return nil, err
	}
	r := &runner{options: options, system: system, edits: newEditor(system, &options.Deployment)}
	result, err := r.run(ctx)
	if err != nil {
		err = fmt.Errorf("%w; logs are in %s", err, system.Directory)
	}
	return result, err
}

type runner struct {
	options Options
	system  *cluster.Cluster
	edits   *editor

	mutex     sync.Mutex
	incidents []incident
	failure   error
}

func (r *runner) run(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cpuBefore, _ := r.nodeTime()
	finished := make(chan *load.Report, 1)
	loadOptions := r.loadOptions()
	go func() { finished <- load.Run(ctx, loadOptions) }()
	pause(ctx, warmUp)
	r.injectAll(ctx)
	report := <-finished
	if r.failure != nil {
		return nil, r.failure
	}
	found, err := r.gather(report)
	if err != nil {
		return nil, err
	}
	result := r.summarize(report)
	if cpuAfter, isWhole := r.nodeTime(); isWhole {
		result.NodeCPUMicros = float64((cpuAfter - cpuBefore).Microseconds()) / float64(len(report.Samples))
	}
	r.readServices(result)
	result.Violations = append(checkAll(found), r.edits.check()...)
	result.InForce = r.edits.inForce
	return result, nil
}

func (r *runner) loadOptions() load.Options {
	options := load.Options{
		Mixes:        r.options.Deployment.mixes(),
		Rate:         r.options.Rate,
		Duration:     warmUp + r.options.Outage + r.options.Settle,
		Keys:         runKeys,
		Exponent:     runExponent,
		HotShift:     time.Second,
		Deadline:     runDeadline,
		RepeatWrites: true,
		Seed:         r.options.Seed,
	}
	for n := range r.options.Deployment.Nodes {
		options.Targets = append(options.Targets, r.system.CallerURL(nodeName(n)))
	}
	return options
}

// injectAll starts all faults within a short time and waits for their end.
func (r *runner) injectAll(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 1))
	var faults sync.WaitGroup
	for _, fault := range r.options.Faults {
		in := &injector{
			system: r.system, deployment: &r.options.Deployment, edits: r.edits, outage: r.options.Outage,
			random: rand.New(rand.NewPCG(r.options.Seed, random.Uint64())),
		}
		stagger := time.Duration(random.Int64N(int64(maxStagger)))
		faults.Go(func() {
			pause(ctx, stagger)
			happened, err := in.inject(ctx, fault)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.incidents = append(r.incidents, happened)
			if err != nil && !isExpected(fault) {
				r.failure = err
			}
		})
	}
	faults.Wait()
}

// isExpected reports whether a fault's own work may fail under another fault:
// an operator cannot change the table while the platform is away.
func isExpected(fault Fault) bool {
	return slices.Contains([]Fault{MoveSite, Operators, LoseAnswers}, fault)
}

// gather collects what the servers ran. The record of a killed one is gone.
func (r *runner) gather(report *load.Report) (evidence, error) {
	found := evidence{samples: report.Samples, isComplete: true}
	for _, happened := range r.incidents {
		found.isComplete = found.isComplete && !happened.lostRecords
	}
	for id, process := range r.system.Servers {
		if process.HasExited() {
			continue
		}
		effects, err := r.system.Effects(id)
		if err != nil {
			return found, err
		}
		found.effects = append(found.effects, effects...)
	}
	return found, nil
}

func (r *runner) summarize(report *load.Report) *Result {
	result := &Result{
		Deployment: r.options.Deployment.Name,
		Faults:     faultNames(r.options.Faults),
		Seed:       r.options.Seed,
		Outage:     r.options.Outage,
		Requests:   len(report.Samples),
		Done:       report.Count(entry.OutcomeDone),
		NotRun:     report.Count(entry.OutcomeNotRun),
		Unknown:    report.Count(entry.OutcomeUnknown),
		Reasons:    report.Reasons(),
		P50:        report.Quantile(50),
		P99:        report.Quantile(99),
	}
	for _, happened := range r.incidents {
		if happened.drained > 0 {
			result.Drained = append(result.Drained, happened.drained)
		}
		if len(happened.servers) > 0 {
			samples := r.throughOthers(report.Samples, happened)
			result.Away = append(result.Away, awayTimes(samples, happened, r.slicesOf(happened.service))...)
		}
	}
	return result
}

// throughOthers leaves out the samples that were sent to a node in trouble:
// they show how long that node was away, and not how long the keys were.
func (r *runner) throughOthers(samples []load.Sample, happened incident) []load.Sample {
	if happened.nodeURL == "" {
		return samples
	}
	return slices.DeleteFunc(slices.Clone(samples), func(s load.Sample) bool { return s.Target == happened.nodeURL })
}

// nodeTime returns the processor time of all nodes, and false when one of them
// has ended or was replaced.
func (r *runner) nodeTime() (time.Duration, bool) {
	total := time.Duration(0)
	for _, happened := range r.incidents {
		if happened.nodeURL != "" || happened.fault == KillNode || happened.fault == KillMajority {
			return 0, false
		}
	}
	for _, process := range r.system.Nodes {
		used, err := process.ProcessorTime()
		if err != nil {
			return 0, false
		}
		total += used
	}
	return total, true
}

// readServices notes the imbalance and the moves that the leaders report.
func (r *runner) readServices(result *Result) {
	result.Imbalance = make(map[string]float64)
	result.Moved = make(map[string]int)
	for n := range r.options.Deployment.Nodes {
		statuses, err := r.system.Services(nodeName(n))
		if err != nil {
			continue
		}
		for _, status := range statuses {
			result.Imbalance[status.Service] = status.Imbalance
			result.Moved[status.Service] = status.Counters.Moved
		}
		return
	}
}

func (r *runner) slicesOf(service string) uint32 {
	return sliceCount(r.options.Deployment.Table, service)
}
