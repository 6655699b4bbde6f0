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

// settleTime is how long after its last disturbance a node is exempt from the guarantees
// that have a time bound.
const settleTime = 3 * time.Second

// Node is one router node: its process, its settings and its link to the store.
type Node struct {
	Name    string
	Clients string
	Ready   string

	index       int
	nodeAddress string
	program     string
	folder      string
	log         *os.File
	link        *Link

	// restarting is held while an ended process is replaced. It is acquired before mutex.
	restarting sync.Mutex

	mutex          sync.Mutex
	process        *exec.Cmd
	ended          chan struct{}
	frozen         bool
	disturbedUntil time.Time
	// down is set from a terminating signal until the next start.
	down bool
	// events is the history of the node's processes, and starts the number of starts.
	events []nodeEvent
	starts int
}

// grace is the time within which a node must exit after SIGTERM.
const grace = 4 * time.Second

// reloadable holds the settings that a node rereads on SIGHUP.
type reloadable struct {
	drain time.Duration
	// retrySlack is the number of retries that are always allowed.
	retrySlack int
}

var initialSettings = reloadable{drain: 2 * time.Second, retrySlack: 50}

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

// NewNode prepares a node that connects to the store through its own link.
func NewNode(program, folder string, index int, store string) (*Node, error) {
	n := &Node{Name: fmt.Sprintf("n%d", index), index: index, program: program, folder: folder}
	for _, into := range []*string{&n.Clients, &n.Ready, &n.nodeAddress} {
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
	if err := n.writeSettings(initialSettings); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(folder, n.Name+".log"))
	return n, errors.Wrap(err, "create log")
}

// writeSettings replaces the settings file atomically.
func (n *Node) writeSettings(values reloadable) error {
	text := fmt.Sprintf(settingsText, n.Name, n.index%3, n.Clients, n.Ready, n.nodeAddress, n.link.Address,
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
	n.addEvent(processStarted, "")
	ended := make(chan struct{})
	go func() {
		// The exit status is taken from ProcessState.
		_ = process.Wait()
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.addEvent(processEnded, process.ProcessState.String())
		close(ended)
	}()
	n.process, n.ended, n.frozen, n.down = process, ended, false, false
	n.markDisturbed()
	return nil
}

// Restart waits until the process, which was told to exit, has exited, and starts a new one. On
// timeout it kills the process first. If another call has started a new process already, it does
// nothing. It fails if the process cannot be started.
func (n *Node) Restart(timeout time.Duration) error {
	n.restarting.Lock()
	defer n.restarting.Unlock()
	if !n.isDown() {
		return nil
	}
	n.Wait(timeout)
	return n.Start()
}

func (n *Node) isDown() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.down
}

// addEvent appends an event to the history. The caller must hold the mutex.
func (n *Node) addEvent(kind nodeEventKind, detail string) {
	n.events = append(n.events, nodeEvent{at: time.Now(), kind: kind, detail: detail})
}

// history returns a copy of the events of the node's processes.
func (n *Node) history() []nodeEvent {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]nodeEvent(nil), n.events...)
}

// Starts returns how many times the process was started.
func (n *Node) Starts() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.starts
}

// markDisturbed records a disturbance of the node. The caller must hold the mutex.
func (n *Node) markDisturbed() { n.disturbedUntil = time.Now().Add(settleTime) }

// Signal records a signal and sends it to the node's process.
func (n *Node) Signal(signal syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.markDisturbed()
	if n.process == nil {
		return
	}
	switch signal {
	case syscall.SIGSTOP:
		n.frozen = true
		n.addEvent(freezeSignal, "")
	case syscall.SIGCONT:
		n.frozen = false
		n.addEvent(thawSignal, "")
	case syscall.SIGTERM:
		n.down = true
		n.addEvent(termSignal, "")
	case syscall.SIGKILL:
		n.down = true
		n.addEvent(killSignal, "")
	case syscall.SIGHUP:
		n.addEvent(reloadSignal, "")
	}
	// A process that has exited needs no signal.
	_ = n.process.Process.Signal(signal)
}

// Wait waits until the process exits. On timeout it kills the process.
func (n *Node) Wait(timeout time.Duration) {
	n.mutex.Lock()
	process, ended := n.process, n.ended
	n.mutex.Unlock()
	if process == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(timeout):
		n.Signal(syscall.SIGKILL)
		<-ended
	}
}

// SetLinkMode sets the mode of the node's link to the store.
func (n *Node) SetLinkMode(mode Mode) {
	n.mutex.Lock()
	n.markDisturbed()
	n.addEvent(linkChanged, mode.String())
	n.mutex.Unlock()
	n.link.Set(mode)
}

// Ended reports whether the process has exited.
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

// Undisturbed reports whether the node is not frozen, was not asked to exit, has a working link
// to the store, and has had no disturbance for settleTime.
func (n *Node) Undisturbed() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.frozen && !n.down && time.Now().After(n.disturbedUntil) && n.link.current() == Pass
}

// Stop terminates the process and closes the link and the log.
func (n *Node) Stop() {
	n.Signal(syscall.SIGCONT)
	n.Signal(syscall.SIGTERM)
	const timeout = 6 * time.Second
	n.Wait(timeout)
	n.link.Close()
	// The process wrote the log through its own descriptor.
	_ = n.log.Close()
}
