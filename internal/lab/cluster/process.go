// Package cluster starts the stand-ins and nodes of a whole system as separate
// processes on loopback, for the demonstration, the experiments and the tests.
package cluster

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Ready is the line that every program prints to its standard output once it
// accepts connections.
type Ready struct {
	HTTP      string `json:"http,omitempty"`
	Callers   string `json:"callers,omitempty"`
	Nodes     string `json:"nodes,omitempty"`
	Operators string `json:"operators,omitempty"`
}

// Print writes the line.
func (r Ready) Print() error {
	return json.NewEncoder(os.Stdout).Encode(r)
}

// Process is one child process.
type Process struct {
	Name    string
	Ready   Ready
	command *exec.Cmd
	exited  chan struct{}
}

const (
	startLimit = 20 * time.Second
	stopLimit  = 15 * time.Second
)

// start runs a program and waits for its ready line. Its log goes to logFile.
func start(name, logFile, program string, arguments ...string) (*Process, error) {
	log, err := os.Create(logFile)
	if err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	defer log.Close()
	command := exec.Command(program, arguments...)
	command.Stderr = log
	// A child must not outlive an experiment that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open output")
	}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	process := &Process{Name: name, command: command, exited: make(chan struct{})}
	ready := make(chan error, 1)
	go func() {
		line, err := bufio.NewReader(output).ReadBytes('\n')
		if err == nil {
			err = json.Unmarshal(line, &process.Ready)
		}
		ready <- err
		// The exit state of a killed child tells nothing.
		_ = command.Wait()
		close(process.exited)
	}()
	select {
	case err := <-ready:
		if err != nil {
			return nil, errors.Wrapf(err, "%s did not get ready, see %s", name, logFile)
		}
		return process, nil
	case <-time.After(startLimit):
		process.Kill()
		return nil, errors.Newf("%s did not get ready in %v, see %s", name, startLimit, logFile)
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", p.Name)
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	// A process that has ended already needs no kill.
	_ = p.command.Process.Kill()
	<-p.exited
}

// Stop asks the process to end, and kills it if it does not. It reports whether
// the process ended by itself.
func (p *Process) Stop() bool {
	if p.Signal(syscall.SIGTERM) != nil {
		return p.HasExited()
	}
	select {
	case <-p.exited:
		return true
	case <-time.After(stopLimit):
		p.Kill()
		return false
	}
}

// HasExited reports whether the process has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// clockTicks is the unit of processor times in /proc, per second.
const clockTicks = 100

// ProcessorTime returns the processor time that the process has used, from
// /proc/PID/stat.
func (p *Process) ProcessorTime() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, errors.Wrapf(err, "processor time of %s", p.Name)
	}
	// The name of the program may hold spaces, and ends with a parenthesis.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, errors.Newf("processor time of %s: %d fields", p.Name, len(fields))
	}
	ticks := 0
	for _, field := range []string{fields[userField], fields[systemField]} {
		count, err := strconv.Atoi(field)
		if err != nil {
			return 0, errors.Wrapf(err, "processor time of %s", p.Name)
		}
		ticks += count
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}
