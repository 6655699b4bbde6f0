package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/micahaven/micahaven/platform/standin"
)

const (
	// crowdClients is the number of clients that send bodies which stop short of their end.
	crowdClients = 100
	// crowdMegabytes is the memory of the node's machine.
	crowdMegabytes = 96
	// crowdRounds is how often each client sends its body; it holds the connection of each.
	crowdRounds = 3
	// crowdMaxBody is the largest body that the configuration allows.
	crowdMaxBody = 64 << 20
	// crowdDescriptors is how many descriptors the node may have besides one for each connection of the crowd.
	crowdDescriptors = 64
)

// crowdNode is a router process with little memory, a store and one server.
type crowdNode struct {
	*testing.T
	*Node
	store       *standin.Store
	connections sync.Map
}

func startCrowdNode(t *testing.T) *crowdNode {
	t.Helper()
	folder := t.TempDir()
	router := filepath.Join(folder, "router")
	build := exec.Command("go", "build", "-o", router, "../../cmd/micahaven-router")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build router: %v\n%s", err, output)
	}
	store := standin.NewStore()
	t.Cleanup(store.Close)
	standin.ConfigureBodies(store, 1, standin.DefaultRoutes(), crowdMaxBody)
	server := standin.NewServer(store, standin.NewLedger(), "s1", standin.PlainService, nil)
	t.Cleanup(server.Stop)
	node, err := NewNode(router, folder, 0, store.Address)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := os.ReadFile(node.settings())
	if err != nil {
		t.Fatal(err)
	}
	settings = bytes.Replace(settings, []byte("memory_megabytes: 256"), fmt.Appendf(nil, "memory_megabytes: %d", crowdMegabytes), 1)
	if err := os.WriteFile(node.settings(), settings, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Stop)
	n := &crowdNode{T: t, Node: node, store: store}
	t.Cleanup(func() {
		n.connections.Range(func(connection, _ any) bool { return connection.(net.Conn).Close() == nil })
	})
	n.requireAnswer([]byte("x"))
	return n
}

// requireAnswer sends an ordinary request with the given body until it is answered with success.
func (n *crowdNode) requireAnswer(body []byte) {
	n.Helper()
	const timeout = 30 * time.Second
	status := 0
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		request, err := http.NewRequest(http.MethodPost, "http://"+n.Clients+crowdPath, bytes.NewReader(body))
		if err != nil {
			n.Fatal(err)
		}
		request.Close = true
		standin.Prepare(request, "ordinary-"+strconv.FormatInt(time.Now().UnixNano(), 10), 5*time.Second, -1)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if status = response.StatusCode; status == http.StatusOK {
			return
		}
	}
	n.Fatalf("an ordinary request of %d bytes is not served, last status %d", len(body), status)
}

// crowdPath is the path of a route whose requests may not be repeated.
const crowdPath = "/orders/x"

const crowdHead = "POST " + crowdPath + " HTTP/1.1\r\nHost: " + standin.Host + "\r\nX-Request-Id: crowd-%d\r\n" +
	standin.DeadlineHeader + ": 60000\r\n%s"

// misbehave sends a request that stops short of its end, and leaves the connection open. Whether it is
// refused is the node's decision.
func (n *crowdNode) misbehave(number int, head string, body []byte) {
	connection, err := net.Dial("tcp", n.Clients)
	if err != nil {
		return
	}
	n.connections.Store(connection, true)
	const timeout = 5 * time.Second
	if connection.SetDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	if _, err := fmt.Fprintf(connection, crowdHead, number, head); err != nil {
		return
	}
	// The node may answer and close before it has read all.
	_, _ = connection.Write(body)
	_, _ = bufio.NewReader(connection).Peek(1)
}

// resident returns the resident bytes of the node's process.
func (n *crowdNode) resident() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	total := 0
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			total = kilobytes << 10
		}
	}
	return total
}

// unreadBytes returns the bytes that the kernel holds unread for the connections of an address.
func unreadBytes(address string) int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	_, port, _ := strings.Cut(address, ":")
	number, _ := strconv.Atoi(port)
	local := fmt.Sprintf(":%04X", number)
	total := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		const established = "01"
		if len(fields) < 5 || !strings.HasSuffix(fields[1], local) || fields[3] != established {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		count, _ := strconv.ParseInt(unread, 16, 64)
		total += int(count)
	}
	return total
}

func (n *crowdNode) descriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	return len(open)
}

// crowdBody is a body that stops short of its end, with the header field that announces it.
type crowdBody struct {
	field string
	sent  []byte
}

func crowdBodies() map[string]crowdBody {
	const chunked = "Transfer-Encoding: chunked"
	content := bytes.Repeat([]byte("x"), 1_000_000)
	return map[string]crowdBody{
		"one large chunk":   {chunked, append(fmt.Appendf(nil, "%x\r\n", len(content)), content[1:]...)},
		"small chunks":      {chunked, bytes.Repeat([]byte("1\r\nx\r\n"), 300_000)},
		"a length":          {fmt.Sprintf("Content-Length: %d", len(content)), content[1:]},
		"many large chunks": {chunked, bytes.Repeat(append(fmt.Appendf(nil, "%x\r\n", len(content)), append(content, '\r', '\n')...), 3)},
	}
}

// endure lets a crowd of clients send a request that stops short of its end, each several times, and checks
// that the node lives, stays within its memory and descriptors, and answers an ordinary request afterwards.
func (n *crowdNode) endure(clients, rounds int, head string, body []byte) {
	n.Helper()
	var crowd sync.WaitGroup
	for number := range clients {
		crowd.Go(func() {
			for range rounds {
				n.misbehave(number, head, body)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		crowd.Wait()
		close(done)
	}()
	memory, mostUnread, descriptors := 0, 0, 0
	for running := true; running; {
		unread := unreadBytes(n.Clients)
		memory, mostUnread = max(memory, n.resident()+unread), max(mostUnread, unread)
		descriptors = max(descriptors, n.descriptors())
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
	}
	n.Logf("at most %d MB, %d MB unread, %d descriptors", memory>>20, mostUnread>>20, descriptors)
	if n.Ended() {
		n.Fatal("the node has ended")
	}
	if memory > crowdMegabytes<<20 {
		n.Errorf("the node used %d MB, its machine has %d", memory>>20, crowdMegabytes)
	}
	if allowed := clients*rounds + crowdDescriptors; descriptors > allowed {
		n.Errorf("the node had %d descriptors open, %d allowed", descriptors, allowed)
	}
	n.requireAnswer([]byte("x"))
}

// Guards against clients whose bodies stop short of their end and use up the memory of a node.
func TestBodiesThatStopShortLeaveTheNodeItsMemory(t *testing.T) {
	for name, body := range crowdBodies() {
		t.Run(name, func(t *testing.T) {
			startCrowdNode(t).endure(crowdClients, crowdRounds, body.field+"\r\n\r\n", body.sent)
		})
	}
}

// Guards against clients whose headers stop short of their end and use up the memory of a node.
func TestHeadersThatStopShortLeaveTheNodeItsMemory(t *testing.T) {
	const clients, rounds, fields, valueBytes = 1000, 2, 450, 120
	startCrowdNode(t).endure(clients, rounds, strings.Repeat("X-Long: "+strings.Repeat("y", valueBytes)+"\r\n", fields), nil)
}

// Guards against limits on request bodies that refuse a single long one.
func TestLongBodyIsServedInCalm(t *testing.T) {
	n := startCrowdNode(t)
	const long = 8 << 20
	n.requireAnswer(bytes.Repeat([]byte("x"), long))
}
