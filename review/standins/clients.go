package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is one client attempt.
type call struct {
	method, path, id, body string
	key                    int
	deadline               time.Duration
}

// reply is what the client got; err is set if the connection ended without a complete answer.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

const host = "counter.example"

var requestNumber struct {
	sync.Mutex
	last int
}

func newID() string {
	requestNumber.Lock()
	defer requestNumber.Unlock()
	requestNumber.last++
	return fmt.Sprintf("req-%06d", requestNumber.last)
}

// newClient returns a client that keeps connections and never repeats a request by itself.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 8 * time.Second,
	}}
}

// send sends one attempt to a router.
func (b *bed) send(client *http.Client, r *router, c call) reply {
	var body io.Reader
	if c.body != "" {
		body = strings.NewReader(c.body)
	}
	request, err := http.NewRequest(c.method, "http://"+r.clients+c.path, body)
	if err != nil {
		return reply{err: err}
	}
	request.Host = host
	request.GetBody = nil
	request.Header["X-Request-Id"] = []string{c.id}
	request.Header["X-Deadline-Ms"] = []string{fmt.Sprint(c.deadline.Milliseconds())}
	request.Header["X-Shard-Key"] = []string{fmt.Sprint(c.key)}
	timer := time.AfterFunc(c.deadline, func() {})
	defer timer.Stop()
	limited := *client
	limited.Timeout = c.deadline
	response, err := limited.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

// load sends idempotent requests with random keys to all routers, perSecond in total, until stop is
// closed. It returns a function that waits for the last answers.
func (b *bed) load(path string, perSecond int, stop <-chan struct{}) (wait func()) {
	var group sync.WaitGroup
	clients := make([]*http.Client, len(b.routers))
	for index := range clients {
		clients[index] = newClient()
	}
	group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for turn := 0; ; turn++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			index, key := turn%len(b.routers), rand.IntN(keyCount)
			group.Go(func() {
				c := call{method: http.MethodGet, path: path, id: newID(), key: key, deadline: 2 * time.Second}
				got := b.send(clients[index], b.routers[index], c)
				b.record("%s key %d via %s: %d %s %v", c.id, key, b.routers[index].name, got.status, strings.TrimSpace(got.body), errText(got.err))
			})
		}
	})
	return group.Wait
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
