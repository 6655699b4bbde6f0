package sockets_test

import (
	"net"
	"testing"
	"time"

	"github.com/micahaven/micahaven/internal/sockets"
)

func TestLeftSeesTheEndBehindUnreadBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	socket, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	if _, err := peer.Write([]byte("unread")); err != nil {
		t.Fatal(err)
	}
	// Loopback delivery takes less than this.
	time.Sleep(50 * time.Millisecond)
	if sockets.PeerClosed(socket) {
		t.Fatal("an open connection is reported as closed by the peer")
	}
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if !sockets.PeerClosed(socket) {
		t.Fatal("the close of the peer is not detected")
	}
}
