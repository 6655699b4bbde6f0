package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/soak"
)

// A short round with the real program; scripts/soak.sh plays long ones.
func TestPromisesHoldUnderFaults(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "router")
	build := exec.Command("go", "build", "-o", program, "../../cmd/micahaven-router")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the router: %v\n%s", err, output)
	}
	options := soak.Options{
		Router: program, Folder: folder, Seed: 101, Nodes: 3, Length: 10 * time.Second, Output: t.Output(),
	}
	result, err := soak.Run(options)
	if err != nil {
		t.Fatal(err)
	}
	if result.Faults == 0 || result.Served == 0 {
		t.Fatalf("%d faults, %d requests served", result.Faults, result.Served)
	}
	for _, breach := range result.Breaches {
		t.Error(breach)
	}
}
