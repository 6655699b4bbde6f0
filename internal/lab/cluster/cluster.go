package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/lab/platform"
	"github.com/micahaven/micahaven/internal/lab/relay"
	"github.com/micahaven/micahaven/internal/lab/server"
	"github.com/micahaven/micahaven/internal/machines"
	"github.com/micahaven/micahaven/internal/operator"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/tablestore"
)

// Programs holds the paths of the two binaries.
type Programs struct {
	Micahaven string
	Lab       string
}

// ServerSpec describes one stand-in server.
type ServerSpec struct {
	ID      string
	Service string
	Site    string
	Zone    string
	Slots   int
	Work    time.Duration
}

// Cluster is a running system.
type Cluster struct {
	Programs Programs
	// Directory holds settings and logs.
	Directory string
	// Settings is added to every node's settings file, as YAML.
	Settings string
	Platform *Process
	Nodes    map[string]*Process
	Servers  map[string]*Process
	// Relays stand before the nodes' inner protocol, by node.
	Relays map[string]*relay.Relay
	client *http.Client
}

// Start runs a platform without nodes or servers.
func Start(programs Programs, directory string) (*Cluster, error) {
	c := &Cluster{
		Programs:  programs,
		Directory: directory,
		Nodes:     make(map[string]*Process),
		Servers:   make(map[string]*Process),
		Relays:    make(map[string]*relay.Relay),
		client:    &http.Client{Timeout: requestLimit},
	}
	var err error
	c.Platform, err = start("platform", c.path("platform.log"), programs.Lab, "platform", "--listen", "127.0.0.1:0")
	return c, err
}

const requestLimit = 5 * time.Second

func (c *Cluster) path(name string) string { return filepath.Join(c.Directory, name) }

// StartNode runs a node behind a relay and puts it on the machine list. A node
// that is started again keeps its relay, and so its address.
func (c *Cluster) StartNode(name, zone string) error {
	before := c.Relays[name]
	if before == nil {
		started, err := relay.Start()
		if err != nil {
			return err
		}
		before = started
		c.Relays[name] = before
	}
	text := fmt.Sprintf(`node: %s
zone: %s
listen: {callers: "127.0.0.1:0", nodes: "127.0.0.1:0", operators: "127.0.0.1:0", advertise: "%s"}
platform: {key_value: ["http://%s"], machines: "http://%s/machines", machine_lag_millis: 2000}
operators: {allow_anonymous: true}
%s`, name, zone, before.Address(), c.Platform.Ready.HTTP, c.Platform.Ready.HTTP, c.Settings)
	file := c.path(name + ".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	process, err := start(name, c.path(name+".log"), c.Programs.Micahaven, "node", "--settings", file)
	if err != nil {
		return err
	}
	c.Nodes[name] = process
	before.Forward(process.Ready.Nodes)
	return c.list(machines.Machine{
		ID: name, Kind: machines.KindNode, Zone: zone, Address: before.Address(), State: machines.StateLive,
	})
}

// StartServer runs a stand-in server and puts it on the machine list.
func (c *Cluster) StartServer(spec ServerSpec) error {
	process, err := start(spec.ID, c.path(spec.ID+".log"), c.Programs.Lab, "server",
		"--listen", "127.0.0.1:0", "--id", spec.ID,
		"--slots", fmt.Sprint(spec.Slots), "--work", spec.Work.String())
	if err != nil {
		return err
	}
	c.Servers[spec.ID] = process
	return c.list(machines.Machine{
		ID: spec.ID, Kind: machines.KindServer, Service: tableName(spec.Service), Site: spec.Site,
		Zone: spec.Zone, Address: process.Ready.HTTP, State: machines.StateLive,
	})
}

// list puts a machine on the list. A platform that was killed has none.
func (c *Cluster) list(machine machines.Machine) error {
	if c.Platform.HasExited() {
		return nil
	}
	return c.put("http://"+c.Platform.Ready.HTTP+"/machines/"+machine.ID, machine, nil)
}

// Unlist takes a machine off the list. A platform that was killed has none.
func (c *Cluster) Unlist(id string) error {
	if c.Platform.HasExited() {
		return nil
	}
	request, err := http.NewRequest(http.MethodDelete, "http://"+c.Platform.Ready.HTTP+"/machines/"+id, nil)
	if err != nil {
		return err
	}
	return c.do(request, nil)
}

// SetFaults replaces the platform's faults.
func (c *Cluster) SetFaults(faults platform.Faults) error {
	return c.put("http://"+c.Platform.Ready.HTTP+"/faults", faults, nil)
}

// LoadTable writes every entry of a table through a node.
func (c *Cluster) LoadTable(node string, wanted *table.Table) error {
	for _, policy := range wanted.Policies {
		if err := c.put(c.operatorURL(node, "table/services/"+string(policy.Service)), policy, ifMatch(0)); err != nil {
			return err
		}
	}
	if err := c.waitForPolicies(node, len(wanted.Policies)); err != nil {
		return err
	}
	for _, row := range wanted.Rows {
		if _, err := c.PutRow(node, row, 0); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) waitForPolicies(node string, count int) error {
	return Wait(startLimit, "services in the table", func() (bool, error) {
		var view operator.TableView
		err := c.get(c.operatorURL(node, "table"), &view)
		return err == nil && len(view.Services) >= count, err
	})
}

// PutRow writes a row that is at the given revision, and returns the new one.
func (c *Cluster) PutRow(node string, row table.Row, revision int64) (int64, error) {
	var entry tablestore.Entry
	url := c.operatorURL(node, fmt.Sprintf("table/rows/%s/%s", row.Service, row.Site))
	err := c.send(http.MethodPut, url, row, ifMatch(revision), &entry)
	return entry.Revision, err
}

// StatusError is an HTTP answer that is not a success.
type StatusError struct {
	Code    int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.Code, e.Message) }

// Row returns a row as a node knows it, with its revision.
func (c *Cluster) Row(node, service, site string) (table.Row, int64, error) {
	var view operator.TableView
	if err := c.get(c.operatorURL(node, "table"), &view); err != nil {
		return table.Row{}, 0, err
	}
	for _, entry := range view.Rows {
		if string(entry.Row.Service) == service && entry.Row.Site == site {
			return *entry.Row, entry.Revision, nil
		}
	}
	return table.Row{}, 0, errors.Newf("node %s knows no row %s/%s", node, service, site)
}

// Status returns the state of a node.
func (c *Cluster) Status(node string) (operator.NodeStatus, error) {
	var status operator.NodeStatus
	err := c.get(c.operatorURL(node, "status"), &status)
	return status, err
}

// Effects returns everything a server ran.
func (c *Cluster) Effects(id string) ([]server.Effect, error) {
	var effects []server.Effect
	err := c.get("http://"+c.Servers[id].Ready.HTTP+"/micahaven/effects", &effects)
	return effects, err
}

// CallerURL returns the address of a node for callers.
func (c *Cluster) CallerURL(node string) string { return "http://" + c.Nodes[node].Ready.Callers }

func (c *Cluster) operatorURL(node, path string) string {
	return "http://" + c.Nodes[node].Ready.Operators + "/api/v1/" + path
}

// Close ends every process.
func (c *Cluster) Close() {
	for _, process := range c.Nodes {
		process.Kill()
	}
	for _, process := range c.Servers {
		process.Kill()
	}
	if c.Platform != nil {
		c.Platform.Kill()
	}
	for _, before := range c.Relays {
		before.Close()
	}
}

// Isolate cuts a node off from all others, in both directions, or joins it
// again.
func (c *Cluster) Isolate(node string, isCut bool) {
	cut := relay.Cut{ToTarget: isCut, FromTarget: isCut}
	for other, before := range c.Relays {
		if other == node {
			continue
		}
		before.SetCut(node, cut)
		c.Relays[node].SetCut(other, cut)
	}
}

// CutOneWay stops what one node sends to another, or lets it pass again. What
// travels back is answered on the same connections, so it passes.
func (c *Cluster) CutOneWay(from, to string, isCut bool) {
	c.Relays[to].SetCut(from, relay.Cut{ToTarget: isCut})
}

func ifMatch(revision int64) http.Header {
	return http.Header{"If-Match": []string{fmt.Sprint(revision)}}
}

func (c *Cluster) put(url string, body any, header http.Header) error {
	return c.send(http.MethodPut, url, body, header, nil)
}

func (c *Cluster) send(method, url string, body any, header http.Header, into any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	if header != nil {
		request.Header = header
	}
	return c.do(request, into)
}

func (c *Cluster) get(url string, into any) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return c.do(request, into)
}

func (c *Cluster) do(request *http.Request, into any) error {
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		message, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		status := &StatusError{Code: response.StatusCode, Message: string(message)}
		return errors.Wrapf(status, "%s %s", request.Method, request.URL)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(into)
}

const waitPause = 20 * time.Millisecond

// Wait calls check until it reports true, or the limit passes.
func Wait(limit time.Duration, what string, check func() (bool, error)) error {
	deadline := time.Now().Add(limit)
	var last error
	for time.Now().Before(deadline) {
		done, err := check()
		if done {
			return nil
		}
		last = err
		time.Sleep(waitPause)
	}
	return errors.Newf("waited %v in vain for %s: last error: %v", limit, what, last)
}

func tableName(service string) identity.ServiceName { return identity.ServiceName(service) }

// Services returns the state of every service, as a node gathers it.
func (c *Cluster) Services(node string) ([]group.Status, error) {
	var statuses []group.Status
	err := c.get(c.operatorURL(node, "services"), &statuses)
	return statuses, err
}
