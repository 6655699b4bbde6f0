package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// router is a process of the project, started with the command of the deploy file.
type router struct {
	name, zone                    string
	front, ready, control, figure string
	program, settings             string
	record                        *recorder
	log                           *os.File

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// peakKB and peakUnreadKB are the most resident memory and unread bytes seen, and overLimit how often
	// the platform has killed the process for its memory.
	peakKB, peakUnreadKB, overLimit int
	// firstKilledAt is when that was first; zero if it never was.
	firstKilledAt time.Time
}

// ramMb is RamMb of the settings in DEPLOY.md.
const ramMb = 284

// freeAddress returns an unused loopback address below the range of ephemeral ports.
func freeAddress() string {
	for port := 15000 + os.Getpid()%1000*16; ; port++ {
		if port > 32000 {
			port = 15000
		}
		if taken[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			taken[port] = true
			must(listener.Close())
			return address
		}
	}
}

var taken = map[int]bool{}

func newRouter(name, zone, program, folder string, record *recorder) *router {
	r := &router{
		name: name, zone: zone, program: program, record: record, front: freeAddress(), ready: freeAddress(), control: freeAddress(), figure: freeAddress(),
		settings: filepath.Join(folder, name+".yaml"),
	}
	var err error
	r.log, err = os.Create(filepath.Join(folder, name+".log"))
	must(err)
	return r
}

// writeSettings fills the template of the settings as the platform does, with the fields that DEPLOY.md shows.
func (r *router) writeSettings(template, store string, seeds []string, first bool) {
	quoted := make([]string, len(seeds))
	for index, seed := range seeds {
		quoted[index] = strconv.Quote(seed)
	}
	text, err := os.ReadFile(template)
	must(err)
	host, port, err := net.SplitHostPort(r.figure)
	must(err)
	filled := strings.NewReplacer(
		`{{#Seeds}}"{{.}}"{{,}}{{/Seeds}}`, strings.Join(quoted, ","),
		"{{#Bounds.StrictRevoke}}true{{/Bounds.StrictRevoke}}{{^Bounds.StrictRevoke}}false{{/Bounds.StrictRevoke}}", "false",
		"{{Node}}", r.name, "{{Zone}}", r.zone, "{{Listen.Front}}", r.front, "{{Listen.Ready}}", r.ready, "{{Listen.Control}}", r.control,
		"{{Ip}}", host, "{{PortRange.0}}", port, "{{Provider.Addr}}", store, "{{Provider.ReadsPerS}}", "2000",
		"{{Bounds.DrainMs}}", "2000", "{{Bounds.GraceS}}", "6", "{{Bounds.ConfigMs}}", "2000", "{{Bounds.RetryRatio}}", "0.2",
		"{{Bounds.RetrySlack}}", "56", "{{Bounds.RetryWindowS}}", "10", "{{Bounds.HoldMaxMs}}", "10000", "{{Limits.RamMb}}", strconv.Itoa(ramMb),
		"{{Limits.CpuShare}}", "0.32", "{{Limits.LinkMbps}}", "1000.0", "{{Bootstrap|json}}", strconv.FormatBool(first),
		"{{Bounds.EvacMs}}", "", "{{Bounds.QuotaWindowS}}", "", "{{Bounds.QuotaOver}}", "", "{{Bounds.QuotaSlack}}", "",
		"{{Bounds.RevokeMs}}", "", "{{Bounds.WarmupOver}}", "", "{{Bounds.WarmupSlack}}", "",
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		panic("the template of the settings has a gap that this stand-in doesn't fill:\n" + filled)
	}
	must(os.WriteFile(r.settings, []byte(filled), 0o600))
}

func (r *router) start() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	process := exec.Command(r.program, "--settings", r.settings)
	process.Stdout, process.Stderr = r.log, r.log
	must(process.Start())
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	r.process, r.ended = process, ended
	r.record.line("router %s starts, process %d", r.name, process.Process.Pid)
}

// kill ends the process with SIGKILL and waits for its end.
func (r *router) kill() {
	r.mutex.Lock()
	process, ended := r.process, r.ended
	r.mutex.Unlock()
	if process == nil {
		return
	}
	select {
	case <-ended:
		return
	default:
	}
	_ = process.Process.Kill()
	<-ended
}

func (r *router) running() bool {
	r.mutex.Lock()
	ended := r.ended
	r.mutex.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// residentKB returns the resident memory of the process; 0 if it has ended.
func (r *router) residentKB() int {
	r.mutex.Lock()
	pid := r.process.Process.Pid
	r.mutex.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			count, _ := strconv.Atoi(fields[1])
			return count
		}
	}
	return 0
}

// unreadKB returns the bytes that have arrived on the clients' connections of the router and are not
// yet read: the receive queues of the sockets at its address.
func (r *router) unreadKB() int {
	_, portText, _ := net.SplitHostPort(r.front)
	port, _ := strconv.Atoi(portText)
	local := fmt.Sprintf("0100007F:%04X", port)
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	count := 0
	for _, line := range strings.Split(string(text), "\n") {
		const established = "01"
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] != established {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		count += int(bytes)
	}
	return count / 1024
}

const (
	memoryInterval = 5 * time.Millisecond
	restartDelay   = time.Second
)

// limitMemory kills the process once it exceeds RamMb, as the platform does (DEPLOY.md, Memory and
// descriptors: bytes that have arrived but are not yet read count), and starts it again after a short
// delay.
func (r *router) limitMemory() {
	for range time.Tick(memoryInterval) {
		if !r.running() {
			continue
		}
		resident, unread := r.residentKB(), r.unreadKB()
		r.mutex.Lock()
		r.peakKB, r.peakUnreadKB = max(r.peakKB, resident), max(r.peakUnreadKB, unread)
		r.mutex.Unlock()
		if resident+unread <= ramMb*1024 {
			continue
		}
		r.record.line("router %s has %d kB and %d kB unread, over the limit of %d MB: the platform kills it", r.name, resident, unread, ramMb)
		r.mutex.Lock()
		if r.overLimit == 0 {
			r.firstKilledAt = time.Now()
		}
		r.mutex.Unlock()
		r.kill()
		r.mutex.Lock()
		r.overLimit++
		r.mutex.Unlock()
		time.Sleep(restartDelay)
		r.start()
	}
}

// isReady asks the router whether it is ready.
func (r *router) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + r.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	must(answer.Body.Close())
	return answer.StatusCode == http.StatusOK
}

// entry is the platform's address of one zone: it takes the routers that are ready (PROTOCOL.md, Ingress).
type entry struct {
	routers []*router
	mutex   sync.Mutex
	missed  []int
}

func newEntry(routers []*router) *entry {
	e := &entry{routers: routers, missed: make([]int, len(routers))}
	go func() {
		for range time.Tick(time.Second) {
			for index, r := range routers {
				go e.observe(index, r.isReady())
			}
		}
	}()
	return e
}

func (e *entry) observe(index int, ready bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.missed[index]++
	if ready {
		e.missed[index] = 0
	}
}

// pick returns the router for a new connection of a client.
func (e *entry) pick(client, try int) *router {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var in []*router
	for index, r := range e.routers {
		if e.missed[index] < 2 {
			in = append(in, r)
		}
	}
	if 2*len(in) < len(e.routers) {
		in = e.routers
	}
	return in[(client+try)%len(in)]
}
