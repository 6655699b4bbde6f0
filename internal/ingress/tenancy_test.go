package ingress

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/micahaven/micahaven/internal/dispatch"
	"github.com/micahaven/micahaven/internal/quota"
	"github.com/micahaven/micahaven/internal/tenants"
)

// refundedQuotas counts the tokens that are given back.
type refundedQuotas struct{ refunds int }

// Admit implements Quotas.
func (*refundedQuotas) Admit(context.Context, string, tenants.Limit) quota.Decision {
	return quota.Decision{Admitted: true}
}

// GiveBack implements Quotas.
func (q *refundedQuotas) GiveBack(string) { q.refunds++ }

// Guards against tokens kept for clients that left, and against counting those as refused.
func TestRequestsThatWereNotSentAreRefunded(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		refunds int
		label   string
	}{
		"refused":                    {&dispatch.Refusal{}, 1, "not executed"},
		"client left before sending": {errors.Mark(dispatch.ErrCanceled, dispatch.ErrNotExecuted), 1, "client left"},
		"client left":                {dispatch.ErrCanceled, 0, "client left"},
		"timed out":                  {dispatch.ErrTimeout, 0, "timed out"},
	} {
		quotas := &refundedQuotas{}
		handler := &Handler{tenancy: Tenancy{Quotas: quotas}}
		handler.refundQuota(&tenants.Tenant{Name: "a"}, c.err)
		if quotas.refunds != c.refunds {
			t.Errorf("%s: %d refunds, want %d", name, quotas.refunds, c.refunds)
		}
		if label := outcomeLabel(nil, c.err); label != c.label {
			t.Errorf("%s: label %q, want %q", name, label, c.label)
		}
	}
}
