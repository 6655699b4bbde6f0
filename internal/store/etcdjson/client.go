// Package etcdjson implements a client for key-value services that offer the etcd v3 JSON
// gateway, the published HTTP mapping of the etcd API.
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

// maxResponseBytes limits the size of one response of the service. It does not apply to
// watch streams.
const maxResponseBytes = 32 << 20

// Client is a store.Store that uses one or more endpoints of the same service.
type Client struct {
	endpoints []string
	http      *http.Client
	limiter   *rate.Limiter
	preferred atomic.Uint32
}

var _ store.Store = (*Client)(nil)

// New returns a client that makes at most callsPerSecond calls per second on average,
// because the service rate-limits its clients. Short bursts are allowed.
func New(endpoints []string, httpClient *http.Client, callsPerSecond float64) *Client {
	const burst = 20
	return &Client{
		endpoints: endpoints,
		http:      httpClient,
		limiter:   rate.NewLimiter(rate.Limit(callsPerSecond), burst),
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
		pairs = append(pairs, toStoreKeyValue(kv))
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
		request.Success = append(request.Success, toOperation(swap))
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

func toOperation(swap store.Swap) Operation {
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
			receive(store.Event{KeyValue: toStoreKeyValue(event.Kv), Deleted: event.Type == EventTypeDelete})
		}
	}
}

func toStoreKeyValue(kv KeyValue) store.KeyValue {
	return store.KeyValue{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

func (c *Client) call(ctx context.Context, path string, request, response any) error {
	httpResponse, err := c.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err := decoder.Decode(response); err != nil {
		return errors.Wrapf(store.ErrUnavailable, "answer of %s: %v", path, err)
	}
	return nil
}

// post sends one request to the preferred endpoint. If the request fails, the next endpoint
// becomes the preferred one for later calls. The request itself is not retried, because a
// change may already have taken effect.
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
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "endpoint %s", endpoint)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(httpRequest)
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
