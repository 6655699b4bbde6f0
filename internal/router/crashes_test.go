package router

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/poison"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// startPeers starts the message exchange of one node for each zone, all of which are heads. The
// nodes send nothing of their own accord, so no connections exist.
func startPeers(t *testing.T, zones ...string) []*peers {
	t.Helper()
	var started []*peers
	var items []topo.Item
	for index, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		self := view.Node{Name: "n-" + zone, Zone: zone, Address: listener.Addr().String(), Share: 1}
		hello := &wire.Hello{Node: self.Name, Zone: zone, Address: self.Address, ProtocolVersion: wire.ProtocolVersion}
		client := transport.NewClient(hello, nil)
		views := view.NewBuilder(view.Layout{TableKey: "table", ServerPrefix: "servers/"}, jsonDocuments{}, zap.NewNop())
		p := &peers{self: self, client: client, views: views, feed: newChangeFeed(self, client, zap.NewNop()), logger: zap.NewNop()}
		p.guard = poison.NewGuard(self.Name, p.announceCrashes, zap.NewNop())
		views.Subscribe(p.feed.updateMembers)
		views.Subscribe(p.updateGuardNodes)
		server := transport.NewServer(hello, listener, nil, p, zap.NewNop())
		go func() { _ = server.Serve() }()
		t.Cleanup(server.Close)
		t.Cleanup(client.Close)
		started = append(started, p)
		items = append(items, topo.Item{Key: view.NodeKey(self.Name), Value: mustEncode(t, self), Revision: int64(index + 1)})
	}
	items = append(items, topo.Item{Key: serverKey(0), Value: serverEntry(t, 0, discovery.Ready), Revision: int64(len(items) + 1)})
	for _, p := range started {
		p.views.Replace(items, int64(len(items)))
	}
	return started
}

// Guards against reports that are dropped, and never repeated, for want of a connection.
func TestFirstCrashReportReachesAllZones(t *testing.T) {
	nodes := startPeers(t, "z1", "z2", "z3")
	crashing := func() poison.Request { return poison.Request{Service: "s", Method: "GET", URI: "/crash"} }
	suspect := poison.Suspect{Digest: poison.DigestOf(crashing()), Lives: []string{"s1", "s2", "s3"}}
	nodes[0].announceCrashes([]poison.Suspect{suspect})
	checkHeard(t, nodes, "the crashes", func(node *peers) bool {
		_, refused := node.guard.Refused(crashing)
		return refused
	})
}

// checkHeard checks that all nodes but the first learn something within 2 s.
func checkHeard(t *testing.T, nodes []*peers, what string, heard func(*peers) bool) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for _, node := range nodes[1:] {
		for !heard(node) && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		if !heard(node) {
			t.Errorf("%s does not know of %s that %s reported", node.self.Name, what, nodes[0].self.Name)
		}
	}
}

// Guards against nodes of other zones that go on using the server.
func TestFirstSignalOfALeavingServerReachesAllZones(t *testing.T) {
	nodes := startPeers(t, "z1", "z2", "z3")
	var id discovery.ServerID
	for known := range nodes[0].views.Current().Servers.All() {
		id = known
	}
	nodes[0].announceServerSignal(id, dispatch.Signal{Leaving: true})
	checkHeard(t, nodes, "the leaving server", func(node *peers) bool {
		server, known := node.views.Current().Servers.Lookup(id)
		return known && !server.DrainingSince.IsZero()
	})
}
