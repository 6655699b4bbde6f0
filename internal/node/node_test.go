package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/micahaven/micahaven/examples"
	"github.com/micahaven/micahaven/internal/entry"
	"github.com/micahaven/micahaven/internal/group"
	"github.com/micahaven/micahaven/internal/identity"
	"github.com/micahaven/micahaven/internal/lab/platform"
	"github.com/micahaven/micahaven/internal/lab/server"
	"github.com/micahaven/micahaven/internal/machines"
	"github.com/micahaven/micahaven/internal/operator"
	"github.com/micahaven/micahaven/internal/settings"
	"github.com/micahaven/micahaven/internal/store/etcdjson"
	"github.com/micahaven/micahaven/internal/table"
	"github.com/micahaven/micahaven/internal/tablestore"
)

// system is three nodes, a platform and servers within the test's process.
type system struct {
	t           *testing.T
	platformURL string
	nodes       []*Node
}

func serveHTTP(t *testing.T, register func(*echo.Echo)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	router := echo.New()
	register(router)
	go func() { _ = http.Serve(listener, router) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func startSystem(t *testing.T) *system {
	t.Helper()
	return startSystemOf(t, time.Millisecond)
}

// startSystemOf starts a system whose servers work on a request for a given time.
func startSystemOf(t *testing.T, work time.Duration) *system {
	t.Helper()
	s := &system{t: t, platformURL: "http://" + serveHTTP(t, platform.New().Register)}
	for i := range 3 {
		s.startNode(fmt.Sprintf("n%d", i+1), fmt.Sprintf("zone-%d", i+1))
	}
	for _, service := range []string{"formula", "dispense", "restock"} {
		for i, site := range []string{"old", "new"} {
			id := fmt.Sprintf("%s-%d", service, i+1)
			address := serveHTTP(t, server.New(server.Options{ID: id, Slots: 2, Work: work}).Register)
			s.list(machines.Machine{ID: id, Kind: machines.KindServer, Service: identity.ServiceName(service), Site: site, Zone: "zone-1", Address: address, State: machines.StateLive})
		}
	}
	s.loadTable()
	s.wait("all slices to be served", func() bool { return s.isServed() })
	return s
}

func (s *system) startNode(name, zone string) {
	s.t.Helper()
	text := fmt.Sprintf("node: %s\nzone: %s\nlisten: {callers: '127.0.0.1:0', nodes: '127.0.0.1:0', operators: '127.0.0.1:0'}\n"+
		"platform: {key_value: ['%s'], machines: '%s/machines'}\noperators: {allow_anonymous: true}\n", name, zone, s.platformURL, s.platformURL)
	config, err := settings.Parse([]byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	listeners, err := Listen(config.Listen)
	if err != nil {
		s.t.Fatal(err)
	}
	created, err := New(config, listeners, Platform{
		Store:    etcdjson.New(config.Platform.KeyValue, http.DefaultClient, 1000),
		Machines: &machines.HTTPSource{URL: config.Platform.Machines, Client: http.DefaultClient},
	}, zap.NewNop())
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var actors run.Group
	created.AddActors(&actors)
	actors.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	done := make(chan struct{})
	go func() { _ = actors.Run(); close(done) }()
	s.t.Cleanup(func() { cancel(); <-done; created.Close() })
	s.nodes = append(s.nodes, created)
	s.list(machines.Machine{ID: name, Kind: machines.KindNode, Zone: zone, Address: created.Addresses().Nodes, State: machines.StateLive})
}

func (s *system) list(machine machines.Machine) {
	s.do(http.MethodPut, s.platformURL+"/machines/"+machine.ID, machine, nil, nil)
}

func (s *system) loadTable() {
	wanted, err := table.ParseYAML(examples.Tintamezcla)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, policy := range wanted.Policies {
		s.do(http.MethodPut, s.operators(0)+"/table/services/"+string(policy.Service), policy, http.Header{"If-Match": {"0"}}, nil)
	}
	s.wait("services", func() bool { return len(s.nodes[0].Table().Policies) == len(wanted.Policies) })
	for _, row := range wanted.Rows {
		s.do(http.MethodPut, fmt.Sprintf("%s/table/rows/%s/%s", s.operators(0), row.Service, row.Site), row, http.Header{"If-Match": {"0"}}, nil)
	}
}

func (s *system) isServed() bool {
	var statuses []group.Status
	s.do(http.MethodGet, s.operators(1)+"/services", nil, nil, &statuses)
	for _, status := range statuses {
		owners := make(map[string]bool)
		for _, slice := range status.Slices {
			if slice.Phase != "serving" {
				return false
			}
			owners[string(slice.Server)] = true
		}
		if len(owners) != 2 || len(status.Members) != 3 {
			return false
		}
	}
	return len(statuses) == 3
}

func (s *system) operators(node int) string {
	return "http://" + s.nodes[node].Addresses().Operators + "/api/v1"
}

// wait polls without a bound of its own: the test's own limit is the bound.
func (s *system) wait(_ string, isDone func() bool) {
	for !isDone() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *system) do(method, url string, body any, header http.Header, into any) *http.Response {
	s.t.Helper()
	var encoded bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&encoded).Encode(body); err != nil {
			s.t.Fatal(err)
		}
	}
	request, err := http.NewRequest(method, url, &encoded)
	if err != nil {
		s.t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	if into != nil {
		if err := json.NewDecoder(response.Body).Decode(into); err != nil {
			s.t.Fatal(err)
		}
	}
	return response
}

// ask sends one caller's request and returns status, outcome, reason and body.
func (s *system) ask(node int, method, path, body string, header http.Header) (*http.Response, string) {
	s.t.Helper()
	request, err := http.NewRequest(method, "http://"+s.nodes[node].Addresses().Callers+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response, string(text)
}

func keyed(key string) http.Header { return http.Header{entry.HeaderIdempotencyKey: {key}} }

func TestCallersSeeEachOutcome(t *testing.T) {
	s := startSystem(t)
	t.Run("answers", func(t *testing.T) { s.checkAnswers(t) })
	t.Run("repeats", func(t *testing.T) { s.checkRepeats(t) })
	t.Run("operators", func(t *testing.T) { s.checkOperators(t) })
}

func (s *system) checkAnswers(t *testing.T) {
	cases := map[string]struct {
		method, path string
		header       http.Header
		status       int
		outcome      string
		text         string
	}{
		"done":             {"GET", "/formula/k1/shade?x=1", nil, 200, entry.OutcomeDone, `"key":"k1"`},
		"unknown service":  {"GET", "/nothing/k1", nil, 404, entry.OutcomeNotRun, "nothing"},
		"missing key":      {"POST", "/dispense/k1", nil, 400, entry.OutcomeNotRun, "Idempotency-Key"},
		"bad deadline":     {"GET", "/formula/k1", http.Header{entry.HeaderDeadline: {"soon"}}, 400, entry.OutcomeNotRun, "soon"},
		"bad priority":     {"GET", "/formula/k1", http.Header{entry.HeaderPriority: {"royal"}}, 400, entry.OutcomeNotRun, "royal"},
		"long idempotency": {"POST", "/dispense/k1", keyed(strings.Repeat("x", 201)), 400, entry.OutcomeNotRun, "201"},
		"long key":         {"GET", "/formula/" + strings.Repeat("k", 513), nil, 400, entry.OutcomeNotRun, "513"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for node := range s.nodes {
				response, text := s.ask(node, test.method, test.path, "", test.header)
				outcome := response.Header.Get(entry.HeaderOutcome)
				if response.StatusCode != test.status || outcome != test.outcome || !strings.Contains(text, test.text) {
					t.Errorf("node %d: %d %q %q", node+1, response.StatusCode, outcome, text)
				}
			}
		})
	}
	large, _ := s.ask(0, "POST", "/dispense/k1", strings.Repeat("x", 2<<20), keyed("large"))
	if large.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("a body of 2 MiB: %d, want 413", large.StatusCode)
	}
}

// checkRepeats sends one order through every node: it runs once, also after the
// group has got another leader, and not at all under another body.
func (s *system) checkRepeats(t *testing.T) {
	first, body := s.ask(0, "POST", "/dispense/k7", "terracotta", keyed("order-1"))
	if first.Header.Get(entry.HeaderOutcome) != entry.OutcomeDone {
		t.Fatalf("first: %v %s", first.Header, body)
	}
	for node := range s.nodes {
		again, text := s.ask(node, "POST", "/dispense/k7", "terracotta", keyed("order-1"))
		if again.Header.Get(entry.HeaderReplayed) != "true" || text != body {
			t.Errorf("repeat through node %d: %v %s, want the stored %s", node+1, again.Header, text, body)
		}
		other, _ := s.ask(node, "POST", "/dispense/k7", "ochre", keyed("order-1"))
		if other.StatusCode != http.StatusUnprocessableEntity {
			t.Errorf("another body under the same key: %d, want 422", other.StatusCode)
		}
	}
	for _, known := range s.nodes {
		if led := known.registry.Group("dispense"); led != nil {
			s.wait("hand over", led.HandOver)
		}
	}
	again, text := s.ask(1, "POST", "/dispense/k7", "terracotta", keyed("order-1"))
	if again.Header.Get(entry.HeaderReplayed) != "true" || text != body {
		t.Errorf("repeat after a change of leader: %v %s", again.Header, text)
	}
}

// checkOperators lets two operators change one row: the loser sees it as it
// stands, and every node takes the winner's.
func (s *system) checkOperators(t *testing.T) {
	var view operator.TableView
	s.do(http.MethodGet, s.operators(0)+"/table", nil, nil, &view)
	row, revision := view.Rows[0].Row, view.Rows[0].Revision
	url := fmt.Sprintf("/table/rows/%s/%s", row.Service, row.Site)
	match := http.Header{"If-Match": {fmt.Sprint(revision)}}
	row.Weight = 2
	var accepted tablestore.Entry
	if response := s.do(http.MethodPut, s.operators(0)+url, row, match, &accepted); response.StatusCode != http.StatusOK {
		t.Fatalf("first operator: %s", response.Status)
	}
	row.Weight = 3
	var refused operator.Failure
	response := s.do(http.MethodPut, s.operators(1)+url, row, match, &refused)
	if response.StatusCode != http.StatusConflict || refused.Current == nil || refused.Current.Row.Weight != 2 {
		t.Errorf("second operator: %s %+v, want a conflict that shows weight 2", response.Status, refused)
	}
	for _, known := range s.nodes {
		s.wait("the change", func() bool { return known.Table().Row(row.Service, row.Site).Weight == 2 })
	}
	row.Weight = -1
	var failure operator.Failure
	response = s.do(http.MethodPut, s.operators(0)+url, row, match, &failure)
	if response.StatusCode != http.StatusBadRequest || !strings.Contains(failure.Error, "weight") || !strings.Contains(failure.Error, "-1") {
		t.Errorf("a weight of -1: %s %q", response.Status, failure.Error)
	}
}
