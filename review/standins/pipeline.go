package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lookupConfig has a route of idempotent requests at a service that is not divided.
const lookupConfig = `{"Version":1,"BaseVersion":0,"Resources":[
{"EntryKind":"Routes","Metadata":{"Name":"r-lookup"},"Spec":{"Host":"counter.example","PathPrefix":"/lookup/","Type":"safe","TimeoutMs":4000,"TargetMs":1000,"Prio":1,"Service":"ghost","MaxAttempts":2}},
{"EntryKind":"Services","Metadata":{"Name":"ghost"},"Spec":{"HealthPath":"/healthz","MaxConns":530,"Proto":"h1","Tls":false}},
{"EntryKind":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]}`

const (
	lookupTimeout = 4 * time.Second
	// answerBytes is the size of an answer, and readRate the bytes a second that a client reads.
	answerBytes, readRate = 9000, 18000
	// pipelineDepth is how many requests a client sends ahead.
	pipelineDepth = 4
	// graceTime is the bound GraceS.
	graceTime = 6 * time.Second
)

// sentRequest is a request that a client has sent and whose answer it has not read.
type sentRequest struct {
	id     string
	sentAt time.Time
}

// slowPipeline stops a router while clients that read slowly send requests ahead.
func slowPipeline(b *bed) (verdict, error) {
	const clients = 6
	b.store.write("op/config", []byte(lookupConfig))
	body := strings.Repeat("x", answerBytes)
	added, err := b.addServers(6, "ghost", false, 50*time.Millisecond, "heredia", "alajuela", "cartago")
	if err != nil {
		return notRun, err
	}
	for _, s := range added {
		s.body = body
	}
	if err := b.startRouters("heredia", "alajuela", "cartago"); err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second)
	var group sync.WaitGroup
	var mutex sync.Mutex
	var lost []string
	stop := make(chan struct{})
	for range clients {
		group.Go(func() {
			found := b.pipelineClient(b.routers[0], stop)
			mutex.Lock()
			lost = append(lost, found...)
			mutex.Unlock()
		})
	}
	time.Sleep(4 * time.Second)
	if b.trouble {
		b.signal(b.routers[0], syscall.SIGTERM)
	}
	time.Sleep(graceTime + time.Second)
	close(stop)
	group.Wait()
	for _, id := range lost {
		b.record("LOST: %s", id)
	}
	if len(lost) > 0 {
		return broken, nil
	}
	return held, nil
}

// pipelineClient sends requests ahead on one connection, reads the answers slowly, and returns the
// requests that a server ran and whose answer it did not get although neither its deadline nor the
// route's timeout was over. It sends nothing more after an answer that closes the connection, or once
// stop is closed.
func (b *bed) pipelineClient(r *router, stop <-chan struct{}) []string {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
		})
	}}
	connection, err := dialer.Dial("tcp", r.clients)
	if err != nil {
		return nil
	}
	defer connection.Close()
	reader := bufio.NewReaderSize(&slowReader{source: connection}, 1<<10)
	var pending []sentRequest
	sending := true
	for {
		select {
		case <-stop:
			sending = false
		default:
		}
		for sending && len(pending) < pipelineDepth {
			id := newID()
			if _, err := fmt.Fprintf(connection, "GET /lookup/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", host, id); err != nil {
				sending = false
				break
			}
			b.record("client %s sends %s", connection.LocalAddr(), id)
			pending = append(pending, sentRequest{id: id, sentAt: time.Now()})
		}
		if len(pending) == 0 {
			return nil
		}
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			b.record("client %s: the connection ends without the answer to %s: %v", connection.LocalAddr(), pending[0].id, err)
			return b.lostOf(pending)
		}
		b.record("client %s gets %d for %s, close %v", connection.LocalAddr(), response.StatusCode, pending[0].id, response.Close)
		pending = pending[1:]
		if response.Close {
			// What was sent behind this answer counts as not read.
			return nil
		}
	}
}

// lostOf returns those of the unanswered requests that a server ran.
func (b *bed) lostOf(pending []sentRequest) []string {
	var lost []string
	for _, request := range pending {
		runs := b.ledger.runsOf(request.id)
		age := time.Since(request.sentAt)
		if len(runs) > 0 && age < lookupTimeout {
			lost = append(lost, fmt.Sprintf("%s ran on %s and was not answered; its connection ended %d ms after it was sent",
				request.id, runs[0].server, age.Milliseconds()))
		}
	}
	return lost
}

// slowReader reads at most readRate bytes a second.
type slowReader struct{ source io.Reader }

// Read implements io.Reader.
func (s *slowReader) Read(into []byte) (int, error) {
	count, err := s.source.Read(into)
	time.Sleep(time.Duration(count) * time.Second / readRate)
	return count, err
}
