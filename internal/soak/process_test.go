package soak

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against a node that two faults end at the same time and that is started twice.
func TestNodeOfTwoFaultsIsStartedOnce(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "router")
	if err := os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	n, err := NewNode(program, folder, 0, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	n.Signal(syscall.SIGKILL)
	n.Signal(syscall.SIGKILL)
	s := &soak{started: time.Now(), options: Options{Output: t.Output()}}
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() { s.restart(n) })
	}
	group.Wait()
	if n.Starts() != 2 {
		t.Errorf("the node was started %d times, want 2", n.Starts())
	}
	if n.Ended() {
		t.Error("the node is down")
	}
}
