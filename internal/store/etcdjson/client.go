// Package etcdjson speaks the etcd v3 JSON gateway, the published HTTP form of
// the etcd API, to a key-value service.
package etcdjson

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/micahaven/micahaven/internal/store"
)

// maxResponseBytes bounds one answer of the service.
const maxResponseBytes = 32 << 20

// Client is a store.Store on one or more endpoints of the same service.
type Client struct {
	endpoints []string
	http      *http.Client
	limiter   *rate.Limiter
	preferred atomic.Uint32
}

var _ store.Store = (*Client)(nil)

// New returns a client that makes at most perSecond calls a second, because the
// service limits its callers.
func New(endpoints []string, httpClient *http.Client, perSecond float64) *Client {
	const burst = 20
	return &Client{
		endpoints: endpoints,
		http:      httpClient,
		limiter:   rate.NewLimiter(rate.Limit(perSecond), burst),
	}
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.KeyValue, int64, error) {
	var response RangeResponse
	request := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	if err := c.call(ctx, PathRange, request, &response); err != nil {
		return nil, 0, err
	}
	pairs := make([]store.KeyValue, 0, len(response.Kvs))
	for _, kv := range response.Kvs {
		pairs = append(pairs, convert(kv))
	}
	return pairs, response.Header.Revision, nil
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, swaps ...store.Swap) (int64, error) {
	var request TxnRequest
	for _, swap := range swaps {
		request.Compare = append(request.Compare, Compare{
			Result:      CompareEqual,
			Target:      TargetMod,
			Key:         []byte(swap.Key),
			ModRevision: swap.Expected,
		})
		request.Success = append(request.Success, operation(swap))
	}
	var response TxnResponse
	if err := c.call(ctx, PathTxn, request, &response); err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, errors.Wrapf(store.ErrConflict, "key %s", swaps[0].Key)
	}
	return response.Header.Revision, nil
}

func operation(swap store.Swap) Operation {
	if swap.Value == nil {
		return Operation{Delete: &DeleteRequest{Key: []byte(swap.Key)}}
	}
	return Operation{Put: &PutRequest{Key: []byte(swap.Key), Value: swap.Value}}
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, receive func(store.Event)) error {
	request := WatchRequest{Create: WatchCreate{
		Key:           []byte(prefix),
		RangeEnd:      PrefixEnd(prefix),
		StartRevision: after + 1,
	}}
	response, err := c.post(ctx, PathWatch, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		var message WatchResponse
		if err := decoder.Decode(&message); err != nil {
			return errors.Wrapf(store.ErrUnavailable, "watch of %s ended: %v", prefix, err)
		}
		if message.Result.CompactRevision > 0 {
			return errors.Wrapf(store.ErrCompacted, "watch of %s after revision %d", prefix, after)
		}
		for _, event := range message.Result.Events {
			receive(store.Event{KeyValue: convert(event.Kv), Deleted: event.Type == EventTypeDelete})
		}
	}
}

func convert(kv KeyValue) store.KeyValue {
	return store.KeyValue{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

func (c *Client) call(ctx context.Context, path string, request, response any) error {
	answer, err := c.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(answer.Body, maxResponseBytes))
	if err := decoder.Decode(response); err != nil {
		return errors.Wrapf(store.ErrUnavailable, "answer of %s: %v", path, err)
	}
	return nil
}

// post sends one request to the preferred endpoint and moves on to the next
// one, for the next call, when it fails. It does not repeat the request itself,
// since a change may have taken effect.
func (c *Client) post(ctx context.Context, path string, request any) (*http.Response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, errors.Wrapf(store.ErrUnavailable, "own rate limit: %v", err)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrapf(err, "encode request for %s", path)
	}
	preferred := c.preferred.Load()
	endpoint := c.endpoints[int(preferred)%len(c.endpoints)]
	url := strings.TrimSuffix(endpoint, "/") + path
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "endpoint %s", endpoint)
	}
	call.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(call)
	if err != nil {
		c.preferred.CompareAndSwap(preferred, preferred+1)
		return nil, errors.Wrapf(store.ErrUnavailable, "%v", err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		c.preferred.CompareAndSwap(preferred, preferred+1)
		return nil, errors.Wrapf(store.ErrUnavailable, "%s answered %s", url, response.Status)
	}
	return response, nil
}
