// Command micahaven-soak runs router processes under random faults and checks the
// router's promises. It ends with 1 if one was broken, and keeps the logs then.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/micahaven/micahaven/internal/soak"
)

func main() {
	router := flag.String("router", "bin/micahaven-router", "path of the router's program")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the first round; each further one has the next seed")
	rounds := flag.Int("rounds", 1, "number of rounds")
	nodes := flag.Int("nodes", 4, "number of router processes, 1 to 24")
	length := flag.Duration("length", 30*time.Second, "how long faults are injected in a round")
	flag.Parse()
	if *nodes < 1 || *nodes > 24 {
		fmt.Fprintf(os.Stderr, "field nodes: %d, allowed: 1 to 24\n", *nodes)
		os.Exit(2)
	}
	broken := 0
	for round := range *rounds {
		broken += play(*router, *seed+uint64(round), *nodes, *length)
	}
	if broken > 0 {
		os.Exit(1)
	}
}

// play runs one round and returns how many promises were broken.
func play(router string, seed uint64, nodes int, length time.Duration) int {
	folder, err := os.MkdirTemp("", "micahaven-soak-")
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
	result, err := soak.Run(soak.Options{Router: router, Folder: folder, Seed: seed, Nodes: nodes, Length: length, Output: trace})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Printf("seed %d: %d faults, %d requests, %.3f served, %.3f after the faults, %d promises broken\n",
		seed, result.Faults, result.Requests, float64(result.Served)/float64(max(1, result.Requests)), result.ServedAfter, len(result.Breaches))
	for _, breach := range result.Breaches {
		fmt.Println("  " + breach)
	}
	if len(result.Breaches) == 0 {
		// Only logs of broken promises are kept.
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println("  logs: " + folder)
	}
	return len(result.Breaches)
}
