package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/micahaven/micahaven/internal/discovery"
	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/feed"
	"github.com/micahaven/micahaven/internal/handoff"
	"github.com/micahaven/micahaven/internal/mirror"
	"github.com/micahaven/micahaven/internal/periodic"
	"github.com/micahaven/micahaven/internal/poison"
	"github.com/micahaven/micahaven/internal/quota"
	"github.com/micahaven/micahaven/internal/shardmanager"
	"github.com/micahaven/micahaven/internal/shards"
	"github.com/micahaven/micahaven/internal/topo"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

const (
	// reportInterval is the pause between two load reports to a manager with few nodes. Every
	// nodesPerInterval nodes add another reportInterval, so that the manager's work does not
	// grow with their number.
	reportInterval   = 200 * time.Millisecond
	nodesPerInterval = 24
	// stateInterval is the pause between two comparisons with another node, and
	// stateIntervalOutage that of a node that cannot reach the store.
	stateInterval       = 1 * time.Second
	stateIntervalOutage = 250 * time.Millisecond
	stateTimeout        = 500 * time.Millisecond
	// slowListThreshold is how long a list of the store may take before the copy of another node is
	// taken instead.
	slowListThreshold = 700 * time.Millisecond
)

// peers exchanges messages with the other nodes.
type peers struct {
	self       view.Node
	seeds      atomic.Pointer[[]string]
	client     *transport.Client
	views      *view.Builder
	mirror     *mirror.Mirror
	dispatcher *dispatch.Dispatcher
	managers   *managers
	// orders sends orders to servers from this node on behalf of other nodes.
	orders shardmanager.Orders
	feed   *changeFeed
	copies *copyProvider
	// home executes requests that other nodes hand off; nil if this node accepts none.
	home *handoff.Home
	// quotas enforces the limits of tenants.
	quotas *quota.Limiter
	// serverLimits enforces the rate limits that servers announce.
	serverLimits *quota.Limiter
	// guard rejects requests that crash servers.
	guard  *poison.Guard
	logger *zap.Logger

	// agreement is what the other nodes say about newer managers.
	agreement agreement

	mutex sync.Mutex
	// recentSenders holds addresses of nodes that sent messages, the latest last. They are
	// used if there is no other way to find nodes.
	recentSenders []string
}

// maxRecentSenders bounds the addresses in recentSenders.
const maxRecentSenders = 8

// rememberSender remembers the address of a node that sent a message.
func (p *peers) rememberSender(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if address == "" || slices.Contains(p.recentSenders, address) {
		return
	}
	p.recentSenders = append(p.recentSenders, address)
	if len(p.recentSenders) > maxRecentSenders {
		p.recentSenders = p.recentSenders[1:]
	}
}

func (p *peers) senderAddresses() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.recentSenders)
}

// setSeeds replaces the addresses at which other nodes may be found.
func (p *peers) setSeeds(seeds []string) { p.seeds.Store(&seeds) }

// Moving implements shardmanager.Notices.
func (p *peers) Moving(service string, epoch uint64, ranges []shards.Range) {
	p.dispatcher.HoldRanges(service, ranges)
	notice := &wire.MoveNotice{Service: service, Epoch: epoch}
	for _, r := range ranges {
		notice.Ranges = append(notice.Ranges, &wire.ShardRange{Last: r.Last, Fence: r.Fence})
	}
	p.sendToHeads(moveEnvelope(notice, true))
	p.sendToFollowers(moveEnvelope(notice, false))
}

func moveEnvelope(notice *wire.MoveNotice, forward bool) *wire.Envelope {
	copied := &wire.MoveNotice{Service: notice.GetService(), Epoch: notice.GetEpoch(), Ranges: notice.GetRanges(), Forward: forward}
	return &wire.Envelope{Body: &wire.Envelope_MoveNotice{MoveNotice: copied}}
}

// itemEnvelope returns a message with an item, which omits the value if there is a delta.
func itemEnvelope(event topo.Event, forward bool) *wire.Envelope {
	item := encodeChange(event)
	item.Forward = forward
	return &wire.Envelope{Body: &wire.Envelope_StoreItem{StoreItem: item}}
}

// PublishItem implements shardmanager.Notices.
func (p *peers) PublishItem(item topo.Item) {
	event, _ := p.mirror.ApplyPushed(topo.Event{Item: item})
	p.sendToHeads(itemEnvelope(event, true))
	p.sendToFollowers(itemEnvelope(event, false))
}

// NotifyPredecessors implements shardmanager.Notices.
func (p *peers) NotifyPredecessors(predecessors []shards.Author, item topo.Item) {
	nodes := p.views.Current().Nodes
	for _, author := range predecessors {
		if node, known := nodes.Lookup(author.Node); known && node.Name != p.self.Name {
			p.client.Send(node.Address, itemEnvelope(topo.Event{Item: item}, false))
		}
	}
}

// TermOver implements shardmanager.Notices.
func (p *peers) TermOver(service string, epoch uint64) {
	manager, known := p.views.Current().Managers[service]
	if !known || manager.Name == p.self.Name {
		return
	}
	p.client.Send(manager.Address, &wire.Envelope{Body: &wire.Envelope_TermOver{TermOver: &wire.TermOver{
		Service: service, Process: p.self.Process, Epoch: epoch,
	}}})
}

// announceRevision notifies the other heads of the store's current revision.
func (p *peers) announceRevision(revision int64) {
	p.sendToHeads(&wire.Envelope{Body: &wire.Envelope_StateNotice{StateNotice: &wire.StateNotice{Revision: revision}}})
}

// sendToHeads sends a message to the other heads, without a guarantee of delivery.
func (p *peers) sendToHeads(envelope *wire.Envelope) {
	for _, address := range p.otherHeads() {
		p.client.Send(address, envelope)
	}
}

// sendToFollowers sends a message to the nodes that follow this one, without a guarantee of
// delivery.
func (p *peers) sendToFollowers(envelope *wire.Envelope) {
	for _, address := range p.feed.followers() {
		p.client.Send(address, envelope)
	}
}

// reportToHeads is sendToHeads for reports that are rare and not repeated. They wait for the
// connections to be opened: a node that is no head has no lasting ones to the heads of other zones.
func (p *peers) reportToHeads(envelope *wire.Envelope) {
	for _, address := range p.otherHeads() {
		p.client.SendOnceConnected(address, envelope)
	}
}

// reportToFollowers is sendToFollowers for such reports.
func (p *peers) reportToFollowers(envelope *wire.Envelope) {
	for _, address := range p.feed.followers() {
		p.client.SendOnceConnected(address, envelope)
	}
}

// otherHeads returns the addresses of the heads without this node.
func (p *peers) otherHeads() []string {
	return slices.DeleteFunc(slices.Clone(p.feed.heads()), func(address string) bool { return address == p.self.Address })
}

// nodes returns the number of registered nodes.
func (p *peers) nodes() int { return p.views.Current().Nodes.Len() }

// HandleMessage implements transport.Handler.
func (p *peers) HandleMessage(from *wire.Hello, envelope *wire.Envelope) {
	p.rememberSender(from.GetAddress())
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_MoveNotice:
		p.applyMoveNotice(body.MoveNotice)
	case *wire.Envelope_StoreItem:
		p.applyItem(body.StoreItem)
	case *wire.Envelope_StateNotice:
		p.applyRevision(body.StateNotice.GetRevision())
	case *wire.Envelope_FollowRequest:
		p.feed.step(from.GetAddress(), feed.Message{Follow: decodeFollow(body.FollowRequest)})
	case *wire.Envelope_FeedHeartbeat:
		p.feed.step(from.GetAddress(), feed.Message{Heartbeat: decodeHeartbeat(body.FeedHeartbeat)})
	case *wire.Envelope_ChangeBatch:
		if batch := p.feed.step(from.GetAddress(), feed.Message{Batch: decodeBatch(body.ChangeBatch)}); batch != nil {
			p.mirror.ApplyBatch(*batch)
		}
	case *wire.Envelope_LoadReport:
		p.recordLoad(body.LoadReport)
	case *wire.Envelope_ColdServer:
		p.applyColdServer(body.ColdServer)
	case *wire.Envelope_ServerSignals:
		p.applyServerSignals(body.ServerSignals)
	case *wire.Envelope_CrashReport:
		p.applyCrashReport(body.CrashReport)
	case *wire.Envelope_TermOver:
		p.views.ApplyRetirement(view.RetirementKey(body.TermOver.GetService(), from.GetNode()), view.Retirement{
			Process: body.TermOver.GetProcess(), Epoch: int64(body.TermOver.GetEpoch()),
		})
	}
}

func (p *peers) applyMoveNotice(notice *wire.MoveNotice) {
	var ranges []shards.Range
	for _, r := range notice.GetRanges() {
		ranges = append(ranges, shards.Range{Last: r.GetLast(), Fence: r.GetFence()})
	}
	p.dispatcher.HoldRanges(notice.GetService(), ranges)
	if notice.GetForward() {
		p.sendToFollowers(moveEnvelope(notice, false))
	}
}

func (p *peers) applyItem(received *wire.StoreItem) {
	event, isNew := p.mirror.ApplyPushed(decodeChange(received))
	if isNew && received.GetForward() {
		p.sendToFollowers(itemEnvelope(event, false))
	}
}

// applyRevision records that another head read this revision from the store, and catches up if
// the copy is older.
func (p *peers) applyRevision(revision int64) {
	if !p.feed.confirmFromPeer(time.Now(), revision) {
		go p.mirror.CatchUp(context.Background(), revision)
	}
}

func (p *peers) recordLoad(report *wire.LoadReport) {
	servers := make([]shardmanager.ServerLoad, 0, len(report.GetServers()))
	for _, load := range report.GetServers() {
		servers = append(servers, shardmanager.ServerLoad{
			Server:   discovery.ServerID(load.GetServer()),
			Attempts: load.GetAttempts(),
			Busy:     time.Duration(load.GetBusyMillis()) * time.Millisecond,
		})
	}
	p.managers.recordLoad(report.GetService(), report.GetKeys(), float64(report.GetWeight()), servers)
}

// HandleStream implements transport.StreamHandler.
func (p *peers) HandleStream(from *wire.Hello, stream *transport.Stream) {
	if p.home == nil {
		handoff.Decline(stream)
		return
	}
	p.home.HandleStream(from, stream)
}

// HandleCall implements transport.Handler.
func (p *peers) HandleCall(from *wire.Hello, envelope *wire.Envelope, reply func(*wire.Envelope)) {
	if order := envelope.GetRelayOrder(); order.GetRelease() {
		go p.executeRelayedRelease(order, reply)
		return
	}
	if report := envelope.GetQuotaReport(); report != nil {
		reply(p.answerQuotas(from, report))
		return
	}
	request := envelope.GetStateRequest()
	if request == nil {
		reply(&wire.Envelope{Body: &wire.Envelope_Failure{Failure: &wire.Failure{Message: "unknown call"}}})
		return
	}
	if request.GetItems() {
		go p.sendCopy(from, reply)
		return
	}
	reply(&wire.Envelope{Body: &wire.Envelope_StateReply{StateReply: p.state()}})
}

// state returns the revision of this node's copy and when that copy was confirmed.
func (p *peers) state() *wire.StateReply {
	state := &wire.StateReply{}
	p.mirror.Inspect(func(revision int64) {
		age, confirmed := p.feed.confirmedAge()
		state.Revision, state.Confirmed, state.ConfirmedAgeMillis = revision, confirmed, uint32(age.Milliseconds())
	})
	return state
}

func (p *peers) sendCopy(from *wire.Hello, reply func(*wire.Envelope)) {
	answer, err := p.copies.reply(from)
	if err != nil {
		p.logger.Error("packing the copy for another node failed", zap.String("to", from.GetNode()), zap.Error(err))
		reply(&wire.Envelope{Body: &wire.Envelope_Failure{Failure: &wire.Failure{Message: "copy cannot be packed"}}})
		return
	}
	reply(&wire.Envelope{Body: &wire.Envelope_StateReply{StateReply: answer}})
}

// reportLoad sends load reports until the context ends.
func (p *peers) reportLoad(ctx context.Context) error {
	for ctx.Err() == nil {
		p.report()
		periodic.Pause(ctx, reportInterval+reportInterval*time.Duration(p.nodes()/nodesPerInterval))
	}
	return nil
}

// report sends this node's load measurements of each sharded service to its manager.
func (p *peers) report() {
	current := p.views.Current()
	if current.Table == nil {
		return
	}
	for name, service := range current.Table.Services() {
		if !service.ShardedByKey {
			continue
		}
		measured := p.dispatcher.TakeReport(name)
		if len(measured.Keys) == 0 && len(measured.Servers) == 0 {
			continue
		}
		report := &wire.LoadReport{Service: name, Keys: measured.Keys, Weight: float32(measured.Weight)}
		for _, s := range measured.Servers {
			report.Servers = append(report.Servers, &wire.ServerLoad{
				Server: string(s.Server), Attempts: s.Attempts, BusyMillis: s.BusyMillis,
			})
		}
		manager := current.Managers[name]
		switch manager.Name {
		case "":
		case p.self.Name:
			p.recordLoad(report)
		default:
			p.client.Send(manager.Address, &wire.Envelope{Body: &wire.Envelope_LoadReport{LoadReport: report}})
		}
	}
}

// compareWithPeer asks another node for the revision of its copy of the store. If this node's
// copy stays behind, it is replaced by the other one, so that a node gets changes that the store
// does not deliver to it.
func (p *peers) compareWithPeer(ctx context.Context) {
	address := p.randomPeer()
	if address == "" || !p.feed.Watching() {
		return
	}
	peerState := p.requestState(ctx, address)
	if peerState.GetRevision() <= p.mirror.Revision() {
		return
	}
	// A node that can reach the store needs a peer's copy only if its watch does not catch up or its
	// list takes long.
	if !p.mirror.StoreUnreachable() && !p.mirror.Loading(slowListThreshold) && !p.mirror.CatchUp(ctx, peerState.GetRevision()) {
		return
	}
	answer := p.callState(ctx, address, true, copyTimeout)
	if !answer.GetComplete() || answer.GetRevision() <= p.mirror.Revision() {
		return
	}
	items, deletions, err := unpackItems(answer.GetPacked(), answer.GetRevision())
	if err != nil {
		p.logger.Warn("decoding the copy of another node failed", zap.String("address", address), zap.Error(err))
		return
	}
	p.logger.Info("copy replaced by that of another node", zap.String("address", address), zap.Int64("revision", answer.GetRevision()))
	p.mirror.Adopt(mirror.Copy{Items: items, Revision: answer.GetRevision(), Deletions: deletions})
}

// exchangeState compares this node's copy with those of other nodes until the context ends.
func (p *peers) exchangeState(ctx context.Context) error {
	for ctx.Err() == nil {
		p.compareWithPeer(ctx)
		interval := stateInterval
		if p.mirror.StoreUnreachable() {
			interval = stateIntervalOutage
		}
		periodic.Pause(ctx, interval)
	}
	return nil
}

// requestState asks another node for its revision. It returns nil if the node does not answer.
func (p *peers) requestState(ctx context.Context, address string) *wire.StateReply {
	return p.callState(ctx, address, false, stateTimeout)
}

// callState asks another node for its revision, and with items for its copy.
func (p *peers) callState(ctx context.Context, address string, items bool, timeout time.Duration) *wire.StateReply {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ask := &wire.Envelope{Body: &wire.Envelope_StateRequest{StateRequest: &wire.StateRequest{Items: items}}}
	envelope, err := p.client.Call(bounded, address, ask)
	if err != nil {
		p.logger.Debug("peer did not answer", zap.String("address", address), zap.Error(err))
		return nil
	}
	return envelope.GetStateReply()
}

func (p *peers) otherAddresses() []string {
	var addresses []string
	for name, node := range p.views.Current().Nodes.All() {
		if name != p.self.Name {
			addresses = append(addresses, node.Address)
		}
	}
	return addresses
}

func (p *peers) randomPeer() string {
	addresses := p.otherAddresses()
	if len(addresses) == 0 {
		addresses = p.unregisteredAddresses()
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// unregisteredAddresses returns addresses at which other nodes may be found while no registered
// node is known.
func (p *peers) unregisteredAddresses() []string {
	var addresses []string
	for _, address := range append(p.senderAddresses(), *p.seeds.Load()...) {
		if address != p.self.Address {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
