package ctl_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/micahaven/micahaven/internal/ctl"
	"github.com/micahaven/micahaven/internal/lab/cluster"
	"github.com/micahaven/micahaven/internal/lab/demo"
)

// runLine carries out a command line and returns its exit code and output.
func runLine(arguments ...string) (int, string) {
	var output, failure bytes.Buffer
	code := ctl.Run(context.Background(), arguments, &output, &failure)
	return code, output.String() + failure.String()
}

func checkLine(t *testing.T, code int, wanted string, arguments ...string) string {
	t.Helper()
	got, text := runLine(arguments...)
	if got != code || !strings.Contains(text, wanted) {
		t.Errorf("micahaven %s: exit code %d, want %d; output %q, want %q in it", strings.Join(arguments, " "), got, code, text, wanted)
	}
	return text
}

func TestWrongUsageNamesFieldAndValue(t *testing.T) {
	t.Setenv("MICAHAVEN_NODE", "")
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(bad, []byte("node: n1\nspeed: 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	checkLine(t, ctl.ExitUsage, "speed", "check", "config", bad)
	checkLine(t, ctl.ExitUsage, "node", "check", "table", bad)
	checkLine(t, ctl.ExitUsage, "--settings", "node")
	checkLine(t, ctl.ExitUsage, "--node", "status")
	checkLine(t, ctl.ExitUsage, "FIELD=VALUE", "table", "set", "--node", "127.0.0.1:1")
	checkLine(t, ctl.ExitUsage, "yml", "table", "get", "--node", "127.0.0.1:1", "--output", "yml")
	checkLine(t, ctl.ExitFailed, "ask node", "status", "--node", "127.0.0.1:1")
}

// TestOperatorsCommands goes through a migration on a running system.
func TestOperatorsCommands(t *testing.T) {
	programs, err := cluster.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	system, err := demo.StartSystem(programs, t.TempDir())
	if system != nil {
		defer system.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("MICAHAVEN_NODE", system.Nodes["n1"].Ready.Operators)
	checkLine(t, ctl.ExitOK, "3 services: in order", "check", "cluster")
	checkLine(t, ctl.ExitOK, "formula-1", "status")

	exported := filepath.Join(t.TempDir(), "table.yaml")
	if err := os.WriteFile(exported, []byte(checkLine(t, ctl.ExitOK, "formula", "table", "export")), 0o600); err != nil {
		t.Fatal(err)
	}
	checkLine(t, ctl.ExitOK, "0 entries differ", "table", "import", exported)

	checkLine(t, ctl.ExitOK, "slices of formula would move", "plan", "formula", "old", "weight=0")
	checkLine(t, ctl.ExitUsage, "heavy", "table", "set", "formula", "old", "weight=heavy")
	checkLine(t, ctl.ExitConflict, "changed by", "table", "set", "--revision", "1", "formula", "old", "weight=2")
	checkLine(t, ctl.ExitOK, "accepted", "table", "set", "formula", "old", "weight=0")
	checkLine(t, ctl.ExitOK, "~ row formula/old", "table", "diff", exported)
	checkLine(t, ctl.ExitOK, "row/formula/old", "table", "history")
	checkLine(t, ctl.ExitOK, "dispense-1 may be stopped", "drain", "--wait", "dispense", "old", "dispense-1")
	checkLine(t, ctl.ExitOK, "in order", "check", "cluster")
}
