package sockets_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/sockets"
)

// Guards against a bound on unread input that makes the kernel drop what clients send: each drop costs a retransmission timeout.
func TestBoundOnUnreadInputDoesNotStallAnUpload(t *testing.T) {
	const length, unread, timeout = 1000 << 10, 8 << 10, 5 * time.Second
	listener, err := sockets.Listen("127.0.0.1:0", unread)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	received := make(chan int64, 1)
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			received <- 0
			return
		}
		count, _ := io.Copy(io.Discard, socket)
		received <- count
	}()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_, _ = client.Write(make([]byte, length))
		_ = client.Close()
	}()
	select {
	case count := <-received:
		if count != length {
			t.Errorf("%d bytes received, %d sent", count, length)
		}
	case <-time.After(timeout):
		t.Errorf("%d bytes have not arrived after %v", length, timeout)
	}
}

// Guards against clients whose unread input is kept by the kernel without a bound.
func TestUnreadInputIsBounded(t *testing.T) {
	const unread, sent = 8 << 10, 1 << 20
	listener, err := sockets.Listen("127.0.0.1:0", unread)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	written := 0
	// What the client's kernel keeps of it counts as well.
	if err := client.(*net.TCPConn).SetWriteBuffer(unread); err != nil {
		t.Fatal(err)
	}
	for part := make([]byte, 1<<10); written < sent; {
		_ = client.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		count, err := client.Write(part)
		written += count
		if err != nil {
			break
		}
	}
	if allowed := 8 * unread; written > allowed {
		t.Errorf("%d bytes were sent to a connection that nobody reads, %d allowed", written, allowed)
	}
}
