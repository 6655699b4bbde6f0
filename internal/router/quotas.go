package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/quota"
	"github.com/micahaven/micahaven/internal/transport"
	"github.com/micahaven/micahaven/internal/view"
	"github.com/micahaven/micahaven/internal/wire"
)

// errNoResponse means that a node did not answer a quota report, or not with a quota
// response.
var errNoResponse = errors.New("no response to a quota report")

// quotaClient sends quota reports to other nodes. It implements quota.Transport.
type quotaClient struct {
	client *transport.Client
	// servers is true if the reports are about the limits that servers announce, false if they
	// are about those of tenants.
	servers bool
}

// Report implements quota.Transport.
func (c quotaClient) Report(ctx context.Context, address string, uses []quota.NamedReport) ([]quota.Answer, error) {
	report := &wire.QuotaReport{Servers: c.servers, Uses: make([]*wire.QuotaUse, 0, len(uses))}
	for _, use := range uses {
		report.Uses = append(report.Uses, &wire.QuotaUse{
			Name: use.Name, Used: int32(use.Used), Waiting: uint32(use.Waiting), Wish: uint32(use.Wish), Observed: encodeObservation(use.Observed),
		})
	}
	envelope, err := c.client.Call(ctx, address, &wire.Envelope{Body: &wire.Envelope_QuotaReport{QuotaReport: report}})
	if err != nil {
		return nil, errors.Mark(err, errNoResponse)
	}
	if envelope.GetQuotaAnswer() == nil {
		return nil, errors.Wrap(errNoResponse, envelope.GetFailure().GetMessage())
	}
	answers := make([]quota.Answer, 0, len(uses))
	for _, grant := range envelope.GetQuotaAnswer().GetGrants() {
		answers = append(answers, quota.Answer{NotHome: grant.GetNotHome(), Observed: decodeObservation(grant.GetObserved()), Grant: quota.Grant{
			Granted: int(grant.GetGranted()), Ahead: int(grant.GetAhead()), Calm: grant.GetCalm(),
			RetryAfter: time.Duration(grant.GetRetryAfterMicros()) * time.Microsecond,
		}})
	}
	return answers, nil
}

// answerQuotas returns the response to another node's quota report.
func (p *peers) answerQuotas(from *wire.Hello, report *wire.QuotaReport) *wire.Envelope {
	uses := make([]quota.NamedReport, 0, len(report.GetUses()))
	for _, use := range report.GetUses() {
		uses = append(uses, quota.NamedReport{Name: use.GetName(), Observed: decodeObservation(use.GetObserved()), Report: quota.Report{
			Used: int(use.GetUsed()), Waiting: int(use.GetWaiting()), Wish: int(use.GetWish()),
		}})
	}
	limiter := p.quotas
	if report.GetServers() {
		limiter = p.serverLimits
	}
	answer := &wire.QuotaAnswer{Grants: make([]*wire.QuotaGrant, 0, len(uses))}
	for _, grant := range limiter.Answer(from.GetNode(), uses) {
		answer.Grants = append(answer.Grants, &wire.QuotaGrant{
			Granted: uint32(grant.Granted), Ahead: uint32(grant.Ahead), Calm: grant.Calm, NotHome: grant.NotHome,
			RetryAfterMicros: grant.RetryAfter.Microseconds(), Observed: encodeObservation(grant.Observed),
		})
	}
	return &wire.Envelope{Body: &wire.Envelope_QuotaAnswer{QuotaAnswer: answer}}
}

func encodeObservation(observed *quota.Observation) *wire.ObservedLimit {
	if observed == nil {
		return nil
	}
	return &wire.ObservedLimit{Limited: observed.Limited, Rate: observed.Rate, AgeMicros: observed.Age.Microseconds()}
}

func decodeObservation(observed *wire.ObservedLimit) *quota.Observation {
	if observed == nil {
		return nil
	}
	return &quota.Observation{
		Limited: observed.GetLimited(), Rate: observed.GetRate(), Age: time.Duration(observed.GetAgeMicros()) * time.Microsecond,
	}
}

// updateQuotas passes the tenants and nodes of a view to the limiters.
func (p *peers) updateQuotas(current *view.View) {
	if current.Table == nil || (current.Unchanged.Table && current.Unchanged.Nodes) {
		return
	}
	nodes := make([]quota.Node, 0, current.Nodes.Len())
	for _, node := range current.Nodes.All() {
		nodes = append(nodes, quota.Node{Name: node.Name, Address: node.Address, Process: node.Process, Share: node.Share})
	}
	p.serverLimits.Update(nil, nodes)
	directory := current.Table.Tenants()
	if directory.Empty() && p.quotas.Unused() {
		return
	}
	p.quotas.Update(directory.Limits(), nodes)
}
