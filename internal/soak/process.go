package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/platform/standin"
)

// contactTime is for how long a node must have been undisturbed before it is bound
// by the promises that carry a time.
const contactTime = 3 * time.Second

// Node is one router process, its settings and its link to the store.
type Node struct {
	Name    string
	Clients string
	Ready   string

	index   int
	inner   string
	program string
	folder  string
	log     *os.File
	link    *Link

	mutex          sync.Mutex
	process        *exec.Cmd
	ended          chan struct{}
	frozen         bool
	disturbedUntil time.Time
	// down is true from a signal that ends the process until the next start.
	down bool
	// events is the history of the node's processes, and starts how many there were.
	events []nodeEvent
	starts int
}

// grace is within what time a node that is told to stop must have ended.
const grace = 4 * time.Second

// changeable are the settings that a node reads again on SIGHUP.
type changeable struct {
	drain time.Duration
	// retrySlack is the number of repeats that are always allowed.
	retrySlack int
}

var firstSettings = changeable{drain: 2 * time.Second, retrySlack: 50}

const settingsText = `
node: %s
zone: z%d
listen: {clients: %q, ready: %q, nodes: %q, metrics: ""}
seeds: []
store: {address: %q}
drain_millis: %d
grace_millis: %d
evacuation_millis: %d
warm_up: {over: %g, slack: %g}
retry: {ratio: 0.2, slack: %d, window_seconds: 10}
max_hold_millis: 10000
memory_megabytes: 256
homes: true
`

// NewNode prepares a node that reaches the store through a link of its own.
func NewNode(program, folder string, index int, store string) (*Node, error) {
	n := &Node{Name: fmt.Sprintf("n%d", index), index: index, program: program, folder: folder}
	for _, into := range []*string{&n.Clients, &n.Ready, &n.inner} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*into = address
	}
	link, err := NewLink(store)
	if err != nil {
		return nil, err
	}
	n.link = link
	if err := n.writeSettings(firstSettings); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(folder, n.Name+".log"))
	return n, errors.Wrap(err, "create log")
}

// writeSettings replaces the settings file in one step.
func (n *Node) writeSettings(values changeable) error {
	text := fmt.Sprintf(settingsText, n.Name, n.index%3, n.Clients, n.Ready, n.inner, n.link.Address,
		values.drain.Milliseconds(), grace.Milliseconds(), evacuationBound.Milliseconds(),
		standin.WarmUpOver, standin.WarmUpSlack, values.retrySlack)
	next := n.settings() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return errors.Wrap(os.Rename(next, n.settings()), "replace settings")
}

func (n *Node) settings() string { return filepath.Join(n.folder, n.Name+".yaml") }

// Start starts the process.
func (n *Node) Start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	process := exec.Command(n.program, "--settings", n.settings())
	process.Stdout, process.Stderr = n.log, n.log
	if err := process.Start(); err != nil {
		return errors.Wrapf(err, "start %s", n.Name)
	}
	n.starts++
	n.happened(processStarted, "")
	ended := make(chan struct{})
	go func() {
		// How it ended is in the process's state.
		_ = process.Wait()
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.happened(processEnded, process.ProcessState.String())
		close(ended)
	}()
	n.process, n.ended, n.frozen, n.down = process, ended, false, false
	n.disturb()
	return nil
}

// happened adds to the history. The caller holds the mutex.
func (n *Node) happened(kind nodeEventKind, detail string) {
	n.events = append(n.events, nodeEvent{at: time.Now(), kind: kind, detail: detail})
}

// history returns what happened to the node's processes.
func (n *Node) history() []nodeEvent {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]nodeEvent(nil), n.events...)
}

// Starts returns how many processes were started.
func (n *Node) Starts() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.starts
}

// disturb notes that the node was disturbed just now. The caller holds the mutex.
func (n *Node) disturb() { n.disturbedUntil = time.Now().Add(contactTime) }

// Signal sends a signal to the node's own process.
func (n *Node) Signal(signal syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.disturb()
	if n.process == nil {
		return
	}
	switch signal {
	case syscall.SIGSTOP:
		n.frozen = true
		n.happened(freezeSignal, "")
	case syscall.SIGCONT:
		n.frozen = false
		n.happened(thawSignal, "")
	case syscall.SIGTERM:
		n.down = true
		n.happened(termSignal, "")
	case syscall.SIGKILL:
		n.down = true
		n.happened(killSignal, "")
	case syscall.SIGHUP:
		n.happened(reloadSignal, "")
	}
	// A process that has ended needs no signal.
	_ = n.process.Process.Signal(signal)
}

// Wait waits until the process has ended, and kills it if that takes too long.
func (n *Node) Wait(patience time.Duration) {
	n.mutex.Lock()
	process, ended := n.process, n.ended
	n.mutex.Unlock()
	if process == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(patience):
		n.Signal(syscall.SIGKILL)
		<-ended
	}
}

// Cut changes what the node's link to the store does.
func (n *Node) Cut(mode Mode) {
	n.mutex.Lock()
	n.disturb()
	n.happened(linkCut, mode.String())
	n.mutex.Unlock()
	n.link.Set(mode)
}

// Ended reports whether the process has ended.
func (n *Node) Ended() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// InTouch reports whether the node has been undisturbed for long enough.
func (n *Node) InTouch() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.frozen && !n.down && time.Now().After(n.disturbedUntil) && n.link.current() == Pass
}

// Stop ends the process, the link and the log.
func (n *Node) Stop() {
	n.Signal(syscall.SIGCONT)
	n.Signal(syscall.SIGTERM)
	const patience = 6 * time.Second
	n.Wait(patience)
	n.link.Close()
	// What was logged is written; there is nothing to do about the rest.
	_ = n.log.Close()
}
