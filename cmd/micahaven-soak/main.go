// Command micahaven-soak runs router processes under random faults and checks the router's
// guarantees. If one was violated, it exits with status 1 and keeps the logs.
package main

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/micahaven/micahaven/internal/soak"
)

// maxNodes bounds the number of processes; each takes some 30 MB.
const maxNodes = 150

func main() {
	router := flag.String("router", "bin/micahaven-router", "path of the router executable")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the first round; each further one has the next seed")
	rounds := flag.Int("rounds", 1, "number of rounds")
	nodes := flag.Int("nodes", 4, fmt.Sprintf("number of router processes, 1 to %d", maxNodes))
	length := flag.Duration("length", 30*time.Second, "how long faults are injected in a round")
	planned := flag.Bool("planned", false, "run planned work with misbehaving servers instead of random faults")
	needs := flag.Bool("needs", false, "in addition to the random faults, let servers announce limits, request backoff and announce that they leave in their responses, and crash on some requests")
	restores := flag.Bool("restores", false, "in addition to the random faults, restore the store from older copies of itself")
	restarts := flag.Bool("restarts", false, "in addition to the random faults, restart servers under their ids, remove entries of running servers, and apply grants of leaving servers late")
	managers := flag.Bool("managers", false, "in addition to the faults of --restarts, kill, stop, suspend and isolate managers while servers leave; --restores may be added")
	drills := flag.Bool("drills", false, "in addition to the random faults, add servers that lose their path to the store, restore the store from before that, and kill nodes meanwhile; not with other options")
	logs := flag.String("logs", "", "directory in which the logs are kept; the system's temporary directory if left out")
	flag.Parse()
	if *nodes < 1 || *nodes > maxNodes {
		fmt.Fprintf(os.Stderr, "field nodes: %d, allowed: 1 to %d\n", *nodes, maxNodes)
		os.Exit(2)
	}
	if *drills && (*planned || *needs || *restores || *restarts || *managers) {
		fmt.Fprintln(os.Stderr, "flag drills: not allowed with planned, needs, restores, restarts or managers")
		os.Exit(2)
	}
	broken := 0
	for round := range *rounds {
		broken += runRound(*logs, soak.Options{
			Router: *router, Seed: *seed + uint64(round), Nodes: *nodes, Length: *length, Planned: *planned, Needs: *needs, Restores: *restores,
			Restarts: *restarts, Managers: *managers, Drills: *drills,
		})
	}
	if broken > 0 {
		os.Exit(1)
	}
}

// runRound runs one round and returns the number of violated guarantees.
func runRound(logs string, options soak.Options) int {
	folder, err := os.MkdirTemp(logs, "micahaven-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trace, err := os.Create(filepath.Join(folder, "faults.log"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	defer trace.Close()
	options.Folder, options.Output = folder, trace
	result, err := soak.Run(options)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	report(options, result)
	for _, breach := range result.Breaches {
		fmt.Println("  " + breach)
	}
	if len(result.Breaches) == 0 {
		// Logs are kept only if a guarantee was violated.
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println("  logs: " + folder)
	}
	return len(result.Breaches)
}

// report prints the results of a round.
func report(options soak.Options, result *soak.Result) {
	fmt.Printf("seed %d: %d processes (%d started), %d faults in %v, %d requests, %.3f served, %.3f after the faults, %d guarantees violated\n",
		result.Seed, result.Processes, result.Started, result.Faults, options.Length, result.Requests,
		float64(result.Served)/float64(max(1, result.Requests)), result.ServedAfter, len(result.Breaches))
	for _, crashing := range result.Crashing {
		fmt.Println("  " + crashing)
	}
	if options.Drills {
		fmt.Printf("  %d drills\n", result.Drills)
	}
	if !options.Planned {
		return
	}
	fmt.Printf("  planned work: %d requests lost, %d connections kept by stopping nodes, longest stop %v",
		result.Lost, result.Kept, result.LongestStop.Round(time.Millisecond))
	for _, end := range slices.Sorted(maps.Keys(result.Ends)) {
		fmt.Printf(", %d %s", result.Ends[end], end)
	}
	fmt.Println()
	for _, excused := range result.Excused {
		fmt.Println("  not counted as lost: " + excused)
	}
}
