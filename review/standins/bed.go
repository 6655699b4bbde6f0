// Command micahaven-review plays one case of the review: it starts the store, the servers and the
// clients of a small deployment as stand-ins, and the router as separate processes.
//
//	micahaven-review CASE FOLDER
//
// It runs at the root of the repository. FOLDER gets record.txt. With TROUBLE=0 in the environment
// the disruption is left out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bed is the small deployment of a case.
type bed struct {
	trouble bool
	folder  string
	store   *store
	ledger  *ledger
	servers []*server
	routers []*router
	began   time.Time
	stop    chan struct{}

	mutex sync.Mutex
	file  *os.File
}

// record writes a line to record.txt.
func (b *bed) record(format string, arguments ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fmt.Fprintf(b.file, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// verdict is how a case ended.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	notRun verdict = 2
)

var cases = map[string]func(*bed) (verdict, error){
	"restarted-server": restartedServer,
	"surplus-refusal":  surplusRefusal,
	"slow-pipeline":    slowPipeline,
	"foreign-entry":    foreignEntry,
	"killed-manager":   killedManager,
	"late-orders":      lateOrders,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: micahaven-review CASE FOLDER")
		os.Exit(int(notRun))
	}
	os.Exit(int(play(os.Args[1], os.Args[2])))
}

func play(name, output string) verdict {
	folder, err := os.MkdirTemp("", "micahaven-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer os.RemoveAll(folder)
	file, err := os.Create(filepath.Join(output, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer file.Close()
	b := &bed{trouble: os.Getenv("TROUBLE") != "0", folder: folder, ledger: &ledger{}, began: time.Now(), stop: make(chan struct{}), file: file}
	b.record("case %s, disruption %v", name, b.trouble)
	if b.store, err = newStore(b.stop); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	b.endOnSignal()
	ended, err := cases[name](b)
	close(b.stop)
	b.endRouters()
	if err != nil {
		b.record("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return notRun
	}
	text := map[verdict]string{held: "the rule held", broken: "the rule was broken"}[ended]
	b.record("%s", text)
	fmt.Println(text)
	return ended
}

// endOnSignal ends the routers and the program when it is told to stop, so that no process is left.
func (b *bed) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		b.record("stopped before the end")
		b.endRouters()
		os.RemoveAll(b.folder)
		os.Exit(int(notRun))
	}()
}

// router is one process of the system on a machine of its own.
type router struct {
	name, zone                     string
	clients, ready, nodes, metrics string
	process                        *exec.Cmd
	done                           chan struct{}
}

// settingsText is the template deploy/settings.yaml as the platform fills it for a small deployment.
const settingsText = `node: "%s"
zone: "%s"
listen:
  clients: "%s"
  ready: "%s"
  nodes: "%s"
  metrics: "%s"
seeds: [%s]
store:
  address: "%s"
  reads_per_second: 6000
drain_millis: 2500
grace_millis: 6000
evacuation_millis: 5000
quota:
  window_seconds: 5
  over: 0.1
  slack: 20
revocation:
  strict: false
  millis: 5000
configuration_millis: 2500
warm_up:
  over: 1.5
  slack: 8
retry:
  ratio: 0.2
  slack: 164
  window_seconds: 10
max_hold_millis: 10000
memory_megabytes: 536
processor_share: 0.8
link_megabits: 200
first_start: %v
homes: true
`

// firstPort and lastPort bound the ports of all listeners. They lie below the ports that the system gives
// to outgoing connections, so that a process that starts again finds its port free.
const firstPort, lastPort = 12000, 31999

// listenLow listens on a free port of the loopback address.
func listenLow() (net.Listener, error) {
	var err error
	for range 100 {
		var listener net.Listener
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort+1))
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

func freeAddress() (string, error) {
	listener, err := listenLow()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startRouters starts one router process in each of the given zones and waits until all are ready.
func (b *bed) startRouters(zones ...string) error {
	for index, zone := range zones {
		r := &router{name: fmt.Sprintf("edge-%s-%d", zone, index+1), zone: zone}
		for _, address := range []*string{&r.clients, &r.ready, &r.nodes, &r.metrics} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
		b.routers = append(b.routers, r)
	}
	for _, r := range b.routers {
		if err := b.startRouter(r, true); err != nil {
			return err
		}
	}
	for _, r := range b.routers {
		if err := b.awaitReady(r); err != nil {
			return err
		}
	}
	return nil
}

func (b *bed) startRouter(r *router, first bool) error {
	var seeds []string
	for _, other := range b.routers {
		seeds = append(seeds, fmt.Sprintf("%q", other.nodes))
	}
	settings := filepath.Join(b.folder, r.name+".yaml")
	text := fmt.Sprintf(settingsText, r.name, r.zone, r.clients, r.ready, r.nodes, r.metrics, strings.Join(seeds, ","), b.store.address, first)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(b.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	// The command of deploy/system.toml.
	r.process = exec.Command("target/micahaven-router", "--settings", settings)
	r.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "MICAHAVEN_CONFIG=" + settings}
	r.process.Stdout, r.process.Stderr = log, log
	if err := r.process.Start(); err != nil {
		return err
	}
	b.record("router %s started", r.name)
	r.done = make(chan struct{})
	process, done := r.process, r.done
	go func() {
		_ = process.Wait()
		close(done)
	}()
	return nil
}

func (b *bed) awaitReady(r *router) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + r.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready", r.name)
}

// signal sends a signal to a router's process.
func (b *bed) signal(r *router, signal syscall.Signal) {
	b.record("router %s gets %v", r.name, signal)
	_ = r.process.Process.Signal(signal)
}

// endRouters ends all router processes and keeps their logs if KEEP_LOGS names a folder.
func (b *bed) endRouters() {
	for _, r := range b.routers {
		if r.process != nil {
			_ = r.process.Process.Signal(syscall.SIGCONT)
			_ = r.process.Process.Kill()
			<-r.done
		}
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		_ = exec.Command("cp", "-r", b.folder, kept).Run()
	}
}

// addServers starts servers of a service, one after the other in the given zones.
func (b *bed) addServers(count int, service string, sharded bool, work time.Duration, zones ...string) ([]*server, error) {
	var added []*server
	for index := range count {
		s := &server{
			bed: b, id: fmt.Sprintf("i-%s-%d", service, index+1), service: service, zone: zones[index%len(zones)],
			slots: 2, sharded: sharded, work: work, reachesStore: true,
		}
		if err := s.start(); err != nil {
			return nil, err
		}
		b.servers = append(b.servers, s)
		added = append(added, s)
	}
	return added, nil
}
