package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	orderHost     = "nony93.example"
	orderPrefix   = "/puba11/"
	statusPrefix  = "/puba11/status/"
	orderDeadline = 2500 * time.Millisecond
	orderWork     = 20 * time.Millisecond
	orderClients  = 24
	// lossyServers of orderServers lose answers, a share of 0.43; lostShare is the share of the answers,
	// and lossyTime how long that lasts (tintamezcla-gw.toml: share 0.45, x 0.025, for_s 5.5).
	orderServers, lossyServers = 7, 3
	lostShare                  = 0.025
	lossyTime                  = 5500 * time.Millisecond
)

// orderRoutes are the routes by prefix, and whether their requests may be repeated.
var orderRoutes = map[string]bool{orderPrefix: false, statusPrefix: true}

const orderConfiguration = `{"Version":7,"Resources":[` +
	`{"EntryKind":"Routes","Metadata":{"Name":"r-orders"},"Spec":{"Host":"` + orderHost + `","PathPrefix":"` + orderPrefix + `",` +
	`"Type":"unsafe","TimeoutMs":1200,"TargetMs":600,"Prio":1,"Service":"wuno96b","MaxAttempts":2}},` +
	`{"EntryKind":"Routes","Metadata":{"Name":"r-status"},"Spec":{"Host":"` + orderHost + `","PathPrefix":"` + statusPrefix + `",` +
	`"Type":"safe","TimeoutMs":1200,"TargetMs":600,"Prio":2,"Service":"wuno96b","MaxAttempts":2}},` +
	`{"EntryKind":"Services","Metadata":{"Name":"wuno96b"},"Spec":{"HealthPath":"/healthz","MaxConns":110,"Proto":"h1","Tls":false}},` +
	`{"EntryKind":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]}`

// repeatable reports whether a request may run more than once: that of the route with the longest
// PathPrefix that begins the path (PROTOCOL.md, Requests).
func repeatable(path string) bool {
	longest := ""
	for prefix := range orderRoutes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
			longest = prefix
		}
	}
	return orderRoutes[longest]
}

// orderPaths are the paths that clients use in turn; %s is the request's id. The first two are orders, one of
// them for an article whose name holds a slash, which stands encoded in a path. The third asks for a status.
var orderPaths = []string{orderPrefix + "%s", orderPrefix + "status%%2F%s", statusPrefix + "%s"}

// sentOrder is one attempt of a client.
type sentOrder struct {
	id, path string
	status   int
}

// encoded plays orders whose paths hold an encoded slash, while answers of some servers are lost if trouble
// is set. It reports whether the rule TWICE held.
func encoded(program, template, folder string, trouble bool, record *recorder) bool {
	platform := newStore()
	platform.put("op/config", []byte(orderConfiguration))
	address := platform.listen()
	var servers []*server
	for index := range orderServers {
		servers = append(servers, startServer(platform, record, fmt.Sprintf("i-%d", index), "wuno96b", "heredia-hall", orderWork))
	}
	routers := []*router{newRouter("edge-heredia-hall-1", "heredia-hall", program, folder, record), newRouter("edge-heredia-hall-2", "heredia-hall", program, folder, record)}
	defer func() {
		for _, r := range routers {
			r.kill()
		}
	}()
	seeds := []string{routers[0].control, routers[1].control}
	for _, r := range routers {
		r.writeSettings(template, address, seeds, true)
		r.start()
	}
	waitReady(routers)
	var mutex sync.Mutex
	var sent []sentOrder
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for number := range orderClients {
		clients.Go(func() {
			orderLoop(number, routers[number%len(routers)], record, stop, func(order sentOrder) {
				mutex.Lock()
				defer mutex.Unlock()
				sent = append(sent, order)
			})
		})
	}
	const calm = 2 * time.Second
	time.Sleep(calm)
	if trouble {
		record.say("%d of %d servers lose %g of their answers for %v", lossyServers, orderServers, lostShare, lossyTime)
		for _, s := range servers[:lossyServers] {
			s.loseAnswers(lostShare)
		}
	}
	time.Sleep(lossyTime)
	for _, s := range servers {
		s.loseAnswers(0)
	}
	time.Sleep(calm)
	close(stop)
	clients.Wait()
	return judgeOrders(servers, sent, record)
}

// orderLoop sends one request after the other on a kept connection.
func orderLoop(number int, to *router, record *recorder, stop <-chan struct{}, report func(sentOrder)) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}, Timeout: orderDeadline}
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("o%d-%d", number, count)
		order := sentOrder{id: id, path: fmt.Sprintf(orderPaths[count%len(orderPaths)], id)}
		record.line("client %d sends POST %s as %s to %s", number, order.path, id, to.name)
		order.status = post(client, "http://"+to.front+order.path, id)
		record.line("client %d gets %d to %s", number, order.status, id)
		report(order)
	}
}

// post sends one request, once, and returns the status of its answer, 0 if there is none.
func post(client *http.Client, url, id string) int {
	// A body that can't be read again keeps the client's library from sending the request a second time.
	request, err := http.NewRequest(http.MethodPost, url, io.NopCloser(bytes.NewReader([]byte("order"))))
	must(err)
	request.ContentLength = int64(len("order"))
	request.Host = orderHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(orderDeadline.Milliseconds()))
	answer, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

// judgeOrders looks for requests that may not be repeated and have run more than once.
func judgeOrders(servers []*server, sent []sentOrder, record *recorder) bool {
	twice := map[string]int{}
	total := map[string]int{}
	answered := 0
	for _, order := range sent {
		kind := strings.ReplaceAll(order.path, order.id, "ID")
		total[kind]++
		if order.status == http.StatusOK {
			answered++
		}
		runs := 0
		for _, s := range servers {
			runs += s.runsOf(order.id)
		}
		if runs > 1 && !repeatable(order.path) {
			twice[kind]++
			record.line("TWICE: %s (POST %s) has run %d times and was answered %d", order.id, order.path, runs, order.status)
		}
	}
	broken := 0
	for kind, count := range total {
		record.say("POST %s: %d sent, may be repeated: %v, run twice against the rule: %d", kind, count, repeatable(kind), twice[kind])
		broken += twice[kind]
	}
	if answered == 0 {
		couldNotRun("no request was served")
	}
	return broken == 0
}
