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
	// keyCount is how many keys clients ask for; they are spread over all keys.
	keyCount  = 64
	keySpread = 65536 / keyCount
	orderPart = 0.4
)

// promises are the statuses that say that a request has not run and never will.
var promises = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// outcome is what a client saw of one request.
type outcome struct {
	id         string
	node       *Node
	repeatable bool
	status     int
	// broken says what was wrong with an answer that looked like a success.
	broken string
	// unjudged requests do not count where the share of served ones does: their
	// client left, or did not send them whole.
	unjudged bool
}

// clients send requests and remember what they saw.
type clients struct {
	nodes []*Node
	mutex sync.Mutex
	sent  int
	seen  []outcome
}

// run sends requests until the context ends.
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
	if random.Float64() < orderPart {
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
		seen.broken = judge(response, method, path, body)
	}
	c.mutex.Lock()
	c.seen = append(c.seen, seen)
	c.mutex.Unlock()
}

// judge reads an answer and says what is wrong with it if it looks like a success.
func judge(response *http.Response, method, path, body string) string {
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		// The client sees that it is not complete.
		return ""
	}
	return wrongAnswer(response, content, method, path, body)
}

// wrongAnswer says what is wrong with a whole answer that looks like a success.
func wrongAnswer(response *http.Response, content []byte, method, path, body string) string {
	if response.StatusCode != http.StatusOK {
		return ""
	}
	request := method + " " + path + " " + body
	switch {
	case !standin.Signed(response):
		return "success without a server's signature"
	case !strings.HasSuffix(string(content), strings.TrimRight(request, " ")) && !strings.HasSuffix(string(content), request):
		return fmt.Sprintf("body %q is not the answer to the request", content)
	}
	return ""
}

// results returns what all clients saw.
func (c *clients) results() []outcome {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]outcome(nil), c.seen...)
}
