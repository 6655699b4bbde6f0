package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	clientCount     = 12
	clientPause     = 15 * time.Millisecond
	requestDeadline = 2 * time.Second
	// keyCount is the number of distinct keys that clients request, spaced evenly by
	// keySpread over the key space.
	keyCount   = 64
	keySpread  = 65536 / keyCount
	orderShare = 0.4
)

// notExecutedStatuses are the statuses which guarantee that a request has not been executed
// and never will be.
var notExecutedStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// outcome is the result of one request as seen by its client.
type outcome struct {
	id         string
	node       *Node
	repeatable bool
	status     int
	// broken describes why a response with status 200 was invalid; empty if it was valid.
	broken string
	// excluded requests do not count towards the fraction of served requests, because the
	// client disconnected or did not send them completely.
	excluded bool
}

// clients sends requests concurrently and records their outcomes.
type clients struct {
	nodes []*Node
	mutex sync.Mutex
	sent  int
	seen  []outcome
}

// run sends requests until the context is done.
func (c *clients) run(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for index := range clientCount {
		random := rand.New(rand.NewPCG(seed, uint64(index)))
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: requestDeadline + time.Second}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				c.send(client, random)
				time.Sleep(time.Duration(random.Int64N(int64(2 * clientPause))))
			}
		})
	}
	group.Wait()
}

func (c *clients) send(client *http.Client, random *rand.Rand) {
	node := c.nodes[random.IntN(len(c.nodes))]
	c.mutex.Lock()
	c.sent++
	id := fmt.Sprintf("%s-%08x", node.Name, c.sent)
	c.mutex.Unlock()
	method, path, key, body := http.MethodGet, "/keys/x", random.IntN(keyCount)*keySpread, ""
	if random.Float64() < orderShare {
		method, path, key, body = http.MethodPost, "/orders/x", -1, "order "+id
	}
	request, err := http.NewRequest(method, "http://"+node.Clients+path, strings.NewReader(body))
	if err != nil {
		return
	}
	standin.Prepare(request, id, requestDeadline, key)
	seen := outcome{id: id, node: node, repeatable: method == http.MethodGet}
	if response, err := client.Do(request); err == nil {
		seen.status = response.StatusCode
		seen.broken = readAndValidate(response, method, path, body)
	}
	c.mutex.Lock()
	c.seen = append(c.seen, seen)
	c.mutex.Unlock()
}

// readAndValidate reads a response and describes why it is invalid if its status is 200.
// It returns an empty string for all other responses.
func readAndValidate(response *http.Response, method, path, body string) string {
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		// The client can detect that the response is incomplete.
		return ""
	}
	return validateResponse(response, content, method, path, body)
}

// validateResponse describes why a complete response with status 200 is invalid. It returns
// an empty string if it is valid or has another status.
func validateResponse(response *http.Response, content []byte, method, path, body string) string {
	if response.StatusCode != http.StatusOK {
		return ""
	}
	request := method + " " + path + " " + body
	switch {
	case !standin.Signed(response):
		return "success without a server's signature"
	case !strings.HasSuffix(string(content), strings.TrimRight(request, " ")) && !strings.HasSuffix(string(content), request):
		return fmt.Sprintf("body %q does not match the request", content)
	}
	return ""
}

// results returns the outcomes recorded by all clients.
func (c *clients) results() []outcome {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]outcome(nil), c.seen...)
}
