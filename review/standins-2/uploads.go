package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// uploadClients is the number of clients; kervran-hq has 411.
	uploadClients = 270
	// uploadBytes is the size of a body; MaxBodyBytes of the pages' example is 67,108,864.
	uploadBytes    = 1_000_000
	uploadDeadline = 1500 * time.Millisecond
	uploadWork     = 240 * time.Millisecond
	uploadHost     = "nony93.example"
	uploadPath     = "/puba11/"
	// calmBefore is how long traffic runs before the loss; in touch is who had no disruption for ContactMs, 3 s.
	calmBefore = 8 * time.Second
	// lossTime is how long the lost machines are away, as node_kill with power on kervran-hq.
	lossTime  = 3500 * time.Millisecond
	calmAfter = 7 * time.Second
)

const uploadConfiguration = `{"Version":7,"Resources":[` +
	`{"EntryKind":"Routes","Metadata":{"Name":"r-uploads"},"Spec":{"Host":"` + uploadHost + `","PathPrefix":"` + uploadPath + `",` +
	`"Type":"unsafe","TimeoutMs":1500,"TargetMs":600,"Prio":1,"Service":"wuno96b","MaxAttempts":2}},` +
	`{"EntryKind":"Services","Metadata":{"Name":"wuno96b"},"Spec":{"HealthPath":"/healthz","MaxConns":110,"Proto":"h1","Tls":false}},` +
	`{"EntryKind":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]}`

// uploadClient sends one request after the other over connections that it keeps.
type uploadClient struct {
	number     int
	entry      *entry
	record     *recorder
	connection net.Conn
	reader     *bufio.Reader
	router     *router
	// onConnection counts the requests on the connection.
	onConnection, tries int
}

// uploadResult is how one attempt of a client ended.
type uploadResult struct {
	id     string
	router *router
	// kept is true if the connection had carried a request before.
	kept bool
	// closedUnanswered is true if the router's side ended the connection without an answer.
	closedUnanswered bool
	sentAt           time.Time
	status           int
}

func (c *uploadClient) run(stop <-chan struct{}, results func(uploadResult)) {
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.IntN(100)) * time.Millisecond):
		}
		result, wait := c.attempt(fmt.Sprintf("u%d-%d", c.number, count))
		results(result)
		time.Sleep(wait)
	}
}

// attempt sends one request and returns how it ended and how long the client was told to wait.
func (c *uploadClient) attempt(id string) (uploadResult, time.Duration) {
	result := uploadResult{id: id, sentAt: time.Now()}
	if c.connection == nil && !c.connect() {
		return result, 50 * time.Millisecond
	}
	result.router, result.kept = c.router, c.onConnection > 0
	c.onConnection++
	connection, deadline := c.connection, time.Now().Add(uploadDeadline)
	must(connection.SetDeadline(deadline))
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		uploadPath+id, uploadHost, id, uploadDeadline.Milliseconds(), uploadBytes)
	c.record.line("client %d sends %s to %s, kept %v", c.number, id, c.router.name, result.kept)
	go func() {
		if _, err := connection.Write(head.Bytes()); err == nil {
			_, _ = connection.Write(make([]byte, uploadBytes))
		}
	}()
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
	}
	if err != nil {
		result.closedUnanswered = time.Now().Before(deadline)
		c.record.line("client %d gets no answer to %s: %v", c.number, id, err)
		c.disconnect()
		return result, 0
	}
	result.status = answer.StatusCode
	c.record.line("client %d gets %d to %s, signature %q", c.number, answer.StatusCode, id, answer.Header.Get("X-Response-Signature"))
	if answer.Close {
		c.disconnect()
	}
	seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	return result, time.Duration(seconds * float64(time.Second))
}

func (c *uploadClient) connect() bool {
	c.tries++
	c.router = c.entry.pick(c.number, c.tries)
	connection, err := net.DialTimeout("tcp", c.router.front, time.Second)
	if err != nil {
		return false
	}
	c.connection, c.reader, c.onConnection = connection, bufio.NewReader(connection), 0
	return true
}

func (c *uploadClient) disconnect() {
	_ = c.connection.Close()
	c.connection = nil
}

// uploads plays uploads to three routers, of which two are lost for a while if trouble is set. It reports
// whether the rule LOST held.
func uploads(program, template, folder string, trouble bool, record *recorder) bool {
	platform := newStore()
	platform.put("op/config", []byte(uploadConfiguration))
	address := platform.listen()
	var servers []*server
	for index := range 11 {
		servers = append(servers, startServer(platform, record, fmt.Sprintf("i-%d", index), "wuno96b", "rennes", uploadWork))
	}
	var routers []*router
	var seeds []string
	for index := range 3 {
		r := newRouter(fmt.Sprintf("edge-rennes-%d", index+1), "rennes", program, folder, record)
		routers, seeds = append(routers, r), append(seeds, r.control)
	}
	defer func() {
		for _, r := range routers {
			r.kill()
		}
	}()
	for _, r := range routers {
		r.writeSettings(template, address, seeds, true)
		r.start()
		go r.limitMemory()
	}
	waitReady(routers)
	for _, r := range routers {
		r.writeSettings(template, address, seeds, false)
	}
	door := newEntry(routers)
	var mutex sync.Mutex
	var results []uploadResult
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for number := range uploadClients {
		client := &uploadClient{number: number, entry: door, record: record}
		clients.Go(func() {
			client.run(stop, func(result uploadResult) {
				mutex.Lock()
				defer mutex.Unlock()
				results = append(results, result)
			})
		})
	}
	time.Sleep(calmBefore)
	if trouble {
		record.say("two of three machines are lost for %v", lossTime)
		for _, lost := range routers[1:] {
			lost.kill()
		}
	}
	time.Sleep(lossTime)
	if trouble {
		for _, lost := range routers[1:] {
			lost.start()
		}
	}
	time.Sleep(calmAfter)
	close(stop)
	clients.Wait()
	return judgeUploads(routers[0], servers, results, record)
}

func waitReady(routers []*router) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, r := range routers {
			if r.isReady() {
				ready++
			}
		}
		if ready == len(routers) {
			time.Sleep(time.Second)
			return
		}
	}
	couldNotRun("the routers are not ready after 15 s")
}

// allowedLost is the number of such requests that the rule LOST excuses (NEWS-27).
const allowedLost = 3

// judgeUploads counts the requests that the router which nobody disturbed took from a kept connection,
// passed on to a sound server and left without an answer. Those that were sent after its first end don't
// count, although a process that ends by itself is counted as running.
func judgeUploads(undisturbed *router, servers []*server, results []uploadResult, record *recorder) bool {
	answered, refused, lost, other := 0, 0, 0, 0
	for _, result := range results {
		switch {
		case result.status == http.StatusOK:
			answered++
		case result.status == http.StatusServiceUnavailable:
			refused++
		case result.closedUnanswered && result.kept && result.router == undisturbed && passedOn(servers, result.id) && !result.sentAt.After(undisturbed.firstKilledAt):
			lost++
			record.line("LOST: %s was passed on to a server, and its connection closed without an answer", result.id)
		default:
			other++
		}
	}
	record.say("%d requests: %d answered, %d refused, %d lost at the first end of %s, %d ended otherwise", len(results), answered, refused, lost, undisturbed.name, other)
	record.say("%s: at most %d kB resident and %d kB unread, killed %d times for its memory; nobody else has touched it",
		undisturbed.name, undisturbed.peakKB, undisturbed.peakUnreadKB, undisturbed.overLimit)
	if answered == 0 {
		couldNotRun("no request was served")
	}
	return lost <= allowedLost
}

func passedOn(servers []*server, id string) bool {
	for _, s := range servers {
		if s.saw(id) {
			return true
		}
	}
	return false
}
