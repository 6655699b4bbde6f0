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
	// reportInterval is the pause between two load reports to a manager, as long
	// as there are few nodes; nodesPerInterval more of them make it that much
	// longer, so that the manager's work does not grow with their number.
	reportInterval   = 200 * time.Millisecond
	nodesPerInterval = 24
	// stateInterval is the pause between two comparisons with another node, and
	// stateIntervalLost that of a node that the store does not answer.
	stateInterval     = 1 * time.Second
	stateIntervalLost = 250 * time.Millisecond
	stateTimeout      = 500 * time.Millisecond
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
	// orders reaches servers from this node, for other nodes' orders.
	orders shardmanager.Orders
	feed   *changeFeed
	copies *copyGiver
	// home takes requests over from other nodes; nil if this node takes none.
	home *handoff.Home
	// quotas keeps the use of tenants within their limits.
	quotas *quota.Limiter
	// serverLimits keeps what servers get within the limits that they name.
	serverLimits *quota.Limiter
	// guard keeps requests that crash servers from them.
	guard  *poison.Guard
	logger *zap.Logger

	mutex sync.Mutex
	// heardFrom holds addresses of nodes that sent something, the last one last:
	// other ways to learn of nodes may be missing.
	heardFrom []string
}

// maxHeardFrom bounds the addresses that are remembered.
const maxHeardFrom = 8

// hear remembers the address of a node that sent something.
func (p *peers) hear(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if address == "" || slices.Contains(p.heardFrom, address) {
		return
	}
	p.heardFrom = append(p.heardFrom, address)
	if len(p.heardFrom) > maxHeardFrom {
		p.heardFrom = p.heardFrom[1:]
	}
}

func (p *peers) heard() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.heardFrom)
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
	p.toHeads(moveEnvelope(notice, true))
	p.toFollowers(moveEnvelope(notice, false))
}

func moveEnvelope(notice *wire.MoveNotice, forward bool) *wire.Envelope {
	copied := &wire.MoveNotice{Service: notice.GetService(), Epoch: notice.GetEpoch(), Ranges: notice.GetRanges(), Forward: forward}
	return &wire.Envelope{Body: &wire.Envelope_MoveNotice{MoveNotice: copied}}
}

// itemEnvelope carries an item, without its value if there is a delta.
func itemEnvelope(event topo.Event, forward bool) *wire.Envelope {
	item := encodedChange(event)
	item.Forward = forward
	return &wire.Envelope{Body: &wire.Envelope_StoreItem{StoreItem: item}}
}

// PublishItem implements shardmanager.Notices.
func (p *peers) PublishItem(item topo.Item) {
	event, _ := p.mirror.ApplyPushed(topo.Event{Item: item})
	p.toHeads(itemEnvelope(event, true))
	p.toFollowers(itemEnvelope(event, false))
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

// found tells the other heads of a revision that the store had just now.
func (p *peers) found(revision int64) {
	p.toHeads(&wire.Envelope{Body: &wire.Envelope_StateNotice{StateNotice: &wire.StateNotice{Revision: revision}}})
}

// toHeads sends a message to the other heads; each may miss it.
func (p *peers) toHeads(envelope *wire.Envelope) {
	for _, address := range p.feed.heads() {
		if address != p.self.Address {
			p.client.Send(address, envelope)
		}
	}
}

// toFollowers sends a message to the nodes that follow this one; each may miss it.
func (p *peers) toFollowers(envelope *wire.Envelope) {
	for _, address := range p.feed.followers() {
		p.client.Send(address, envelope)
	}
}

// nodes returns how many nodes are registered.
func (p *peers) nodes() int { return p.views.Current().Nodes.Len() }

// HandleMessage implements transport.Handler.
func (p *peers) HandleMessage(from *wire.Hello, envelope *wire.Envelope) {
	p.hear(from.GetAddress())
	switch body := envelope.GetBody().(type) {
	case *wire.Envelope_MoveNotice:
		p.takeMoveNotice(body.MoveNotice)
	case *wire.Envelope_StoreItem:
		p.takeItem(body.StoreItem)
	case *wire.Envelope_StateNotice:
		p.takeRevision(body.StateNotice.GetRevision())
	case *wire.Envelope_FollowRequest:
		p.feed.step(from.GetAddress(), feed.Message{Follow: &feed.Follow{Revision: body.FollowRequest.GetRevision()}})
	case *wire.Envelope_FeedHeartbeat:
		p.feed.step(from.GetAddress(), feed.Message{Heartbeat: heartbeatOf(body.FeedHeartbeat)})
	case *wire.Envelope_ChangeBatch:
		if batch := p.feed.step(from.GetAddress(), feed.Message{Batch: batchOf(body.ChangeBatch)}); batch != nil {
			p.mirror.ApplyBatch(*batch)
		}
	case *wire.Envelope_LoadReport:
		p.recordLoad(body.LoadReport)
	case *wire.Envelope_ColdServer:
		p.takeColdServer(body.ColdServer)
	case *wire.Envelope_ServerSignals:
		p.takeServerSignals(body.ServerSignals)
	case *wire.Envelope_CrashReport:
		p.takeCrashes(body.CrashReport)
	case *wire.Envelope_TermOver:
		p.views.ApplyRetirement(view.RetirementKey(body.TermOver.GetService(), from.GetNode()), view.Retirement{
			Process: body.TermOver.GetProcess(), Epoch: int64(body.TermOver.GetEpoch()),
		})
	}
}

func (p *peers) takeMoveNotice(notice *wire.MoveNotice) {
	var ranges []shards.Range
	for _, r := range notice.GetRanges() {
		ranges = append(ranges, shards.Range{Last: r.GetLast(), Fence: r.GetFence()})
	}
	p.dispatcher.HoldRanges(notice.GetService(), ranges)
	if notice.GetForward() {
		p.toFollowers(moveEnvelope(notice, false))
	}
}

func (p *peers) takeItem(received *wire.StoreItem) {
	event, isNew := p.mirror.ApplyPushed(changeOf(received))
	if isNew && received.GetForward() {
		p.toFollowers(itemEnvelope(event, false))
	}
}

// takeRevision takes in that the store had a revision when another head asked.
func (p *peers) takeRevision(revision int64) {
	if !p.feed.told(time.Now(), revision) {
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
		go p.passOn(order, reply)
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
		go p.giveCopy(from, reply)
		return
	}
	answer := &wire.StateReply{Revision: p.mirror.Revision()}
	reply(&wire.Envelope{Body: &wire.Envelope_StateReply{StateReply: answer}})
}

func (p *peers) giveCopy(from *wire.Hello, reply func(*wire.Envelope)) {
	answer, err := p.copies.reply(from)
	if err != nil {
		p.logger.Error("copy not given", zap.String("to", from.GetNode()), zap.Error(err))
		reply(&wire.Envelope{Body: &wire.Envelope_Failure{Failure: &wire.Failure{Message: "copy cannot be packed"}}})
		return
	}
	reply(&wire.Envelope{Body: &wire.Envelope_StateReply{StateReply: answer}})
}

// reportLoad reports until the context ends.
func (p *peers) reportLoad(ctx context.Context) error {
	for ctx.Err() == nil {
		p.report()
		periodic.Pause(ctx, reportInterval+reportInterval*time.Duration(p.nodes()/nodesPerInterval))
	}
	return nil
}

// report sends what this node saw of each key-divided service to its manager.
func (p *peers) report() {
	current := p.views.Current()
	if current.Table == nil {
		return
	}
	for name, service := range current.Table.Services() {
		if !service.KeyDivided {
			continue
		}
		seen := p.dispatcher.TakeReport(name)
		if len(seen.Keys) == 0 && len(seen.Servers) == 0 {
			continue
		}
		report := &wire.LoadReport{Service: name, Keys: seen.Keys, Weight: float32(seen.Weight)}
		for _, s := range seen.Servers {
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

// compare asks another node how new its copy of the store is. If this node's copy
// stays behind, it takes the other one, so that a node learns what the store does
// not tell it.
func (p *peers) compare(ctx context.Context) {
	address := p.randomPeer()
	if address == "" || !p.feed.Watching() {
		return
	}
	seen := p.askState(ctx, address, false)
	if seen.GetRevision() <= p.mirror.Revision() {
		return
	}
	// A node that the store answers only needs help if its watch stays behind.
	if !p.mirror.StoreUnreachable() && !p.mirror.CatchUp(ctx, seen.GetRevision()) {
		return
	}
	answer := p.askState(ctx, address, true)
	if !answer.GetComplete() || answer.GetRevision() <= p.mirror.Revision() {
		return
	}
	items, err := unpackItems(answer.GetPacked())
	if err != nil {
		p.logger.Warn("state of another node refused", zap.String("address", address), zap.Error(err))
		return
	}
	p.logger.Info("state taken from another node", zap.String("address", address), zap.Int64("revision", answer.GetRevision()))
	p.mirror.ReplaceCopy(items, answer.GetRevision())
}

// exchangeState compares with other nodes until the context ends.
func (p *peers) exchangeState(ctx context.Context) error {
	for ctx.Err() == nil {
		p.compare(ctx)
		interval := stateInterval
		if p.mirror.StoreUnreachable() {
			interval = stateIntervalLost
		}
		periodic.Pause(ctx, interval)
	}
	return nil
}

// askState returns another node's answer, or nil.
func (p *peers) askState(ctx context.Context, address string, items bool) *wire.StateReply {
	bounded, cancel := context.WithTimeout(ctx, stateTimeout)
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

// unregisteredAddresses returns where other nodes may be found while none is known to
// be registered.
func (p *peers) unregisteredAddresses() []string {
	var addresses []string
	for _, address := range append(p.heard(), *p.seeds.Load()...) {
		if address != p.self.Address {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
