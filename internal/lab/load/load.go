// Package load sends callers' requests to nodes and checks every answer.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/micahaven/micahaven/internal/clock"
	"github.com/micahaven/micahaven/internal/entry"
	"github.com/micahaven/micahaven/internal/lab/server"
)

// Mix is one service's part of the load.
type Mix struct {
	Service string
	// Share is the relative part of all requests.
	Share float64
	// WriteShare is the part that may not be repeated.
	WriteShare float64
	Priority   string
}

// Options describes a load.
type Options struct {
	// Targets holds the base URLs of the nodes, used at random.
	Targets []string
	Mixes   []Mix
	// Rate is the number of requests a second, sent on time whether or not
	// earlier ones were answered.
	Rate     float64
	Duration time.Duration
	// Keys is the number of keys, drawn by a Zipf law of the given exponent.
	Keys     uint64
	Exponent float64
	// HotShift moves the popular keys to others each time it passes; 0 never.
	HotShift time.Duration
	Deadline time.Duration
	// RepeatWrites sends each write whose outcome is unknown again, as a caller
	// would, under the same idempotency key.
	RepeatWrites bool
	Seed         uint64
}

// Sample is one finished request.
type Sample struct {
	Service string
	// Target is the node that was asked.
	Target         string
	Key            string
	IdempotencyKey string
	RequestID      string
	Outcome        string
	Reason         string
	Status         int
	SentAt         time.Duration
	Took           time.Duration
	IsWrite        bool
	// Wrong is set when the answer was not the whole answer to this request.
	Wrong string
}

// Report sums a load up.
type Report struct {
	Samples []Sample
	Latency *hdrhistogram.Histogram
}

const (
	latencyMaxMicros = 120_000_000
	latencyDigits    = 3
	maxConnections   = 2000
	zipfOffset       = 10
)

// Count returns the number of samples with an outcome.
func (r *Report) Count(outcome string) int {
	count := 0
	for _, sample := range r.Samples {
		if sample.Outcome == outcome {
			count++
		}
	}
	return count
}

// Quantile returns a latency quantile of the answered requests, 0 to 100.
func (r *Report) Quantile(percent float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(percent)) * time.Microsecond
}

// Reasons counts the samples that were not done, by outcome and reason.
func (r *Report) Reasons() map[string]int {
	counts := make(map[string]int)
	for _, sample := range r.Samples {
		if sample.Outcome != entry.OutcomeDone {
			counts[sample.Outcome+" "+sample.Reason]++
		}
	}
	return counts
}

// Wrong returns the samples whose answer was not their own or not whole.
func (r *Report) Wrong() []Sample {
	var wrong []Sample
	for _, sample := range r.Samples {
		if sample.Wrong != "" {
			wrong = append(wrong, sample)
		}
	}
	return wrong
}

type generator struct {
	options Options
	client  *http.Client
	random  *rand.Rand
	zipf    *rand.Zipf

	mutex  sync.Mutex
	report Report
	group  sync.WaitGroup
}

// Run sends the load and waits for all answers.
func Run(ctx context.Context, options Options) *Report {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed+1))
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections, MaxIdleConns: maxConnections}
	defer transport.CloseIdleConnections()
	g := &generator{
		options: options,
		client:  &http.Client{Transport: transport, Timeout: options.Deadline + 5*time.Second},
		random:  random,
		zipf:    rand.NewZipf(random, options.Exponent, zipfOffset, options.Keys-1),
		report:  Report{Latency: hdrhistogram.New(1, latencyMaxMicros, latencyDigits)},
	}
	g.generate(ctx)
	g.group.Wait()
	return &g.report
}

// generate sends requests at fixed intervals; a late one does not delay others.
func (g *generator) generate(ctx context.Context) {
	interval := time.Duration(float64(time.Second) / g.options.Rate)
	started := time.Now()
	for sent := 0; ; sent++ {
		due := started.Add(time.Duration(sent) * interval)
		if due.Sub(started) >= g.options.Duration || ctx.Err() != nil {
			return
		}
		if pause := time.Until(due); pause > 0 {
			time.Sleep(pause)
		}
		request := g.draw(time.Since(started), sent)
		g.group.Go(func() { g.send(ctx, request) })
	}
}

// planned is one request before it is sent.
type planned struct {
	target  string
	mix     Mix
	key     string
	isWrite bool
	body    string
	number  int
}

func (g *generator) draw(elapsed time.Duration, number int) planned {
	mix := g.drawMix()
	rank := g.zipf.Uint64()
	if g.options.HotShift > 0 {
		// An odd stride visits all keys, so each shift makes others popular.
		const stride = 7919
		rank = (rank + stride*uint64(elapsed/g.options.HotShift)) % g.options.Keys
	}
	return planned{
		target:  g.options.Targets[g.random.IntN(len(g.options.Targets))],
		mix:     mix,
		key:     fmt.Sprintf("k%d", rank),
		isWrite: g.random.Float64() < mix.WriteShare,
		body:    fmt.Sprintf("body-%d", number),
		number:  number,
	}
}

func (g *generator) drawMix() Mix {
	total := 0.0
	for _, mix := range g.options.Mixes {
		total += mix.Share
	}
	point := g.random.Float64() * total
	for _, mix := range g.options.Mixes {
		point -= mix.Share
		if point < 0 {
			return mix
		}
	}
	return g.options.Mixes[len(g.options.Mixes)-1]
}

// reasonConnection is the reason of a request whose connection broke.
const reasonConnection = "connection to the node broke"

const (
	repeatPause = 200 * time.Millisecond
	// reconnectPause is how long a caller waits before it asks another node.
	reconnectPause = 5 * time.Millisecond
	maxRepeats     = 20
)

func (g *generator) send(ctx context.Context, request planned) {
	idempotencyKey := ""
	if request.isWrite {
		idempotencyKey = ulid.Make().String()
	}
	for attempt := range maxRepeats {
		sample, connected := g.sendOnce(ctx, request, idempotencyKey)
		if !connected {
			// The node is gone, so the caller asks another one.
			request.target = g.options.Targets[(request.number+attempt)%len(g.options.Targets)]
			time.Sleep(reconnectPause)
			continue
		}
		g.record(sample)
		isFinal := !request.isWrite || sample.Outcome == entry.OutcomeDone
		if !g.options.RepeatWrites || isFinal || ctx.Err() != nil {
			return
		}
		time.Sleep(repeatPause)
	}
}

// sendOnce sends a request to one node and reports whether it could connect.
func (g *generator) sendOnce(ctx context.Context, request planned, idempotencyKey string) (Sample, bool) {
	sample := Sample{
		Target:         request.target,
		Service:        request.mix.Service,
		Key:            request.key,
		IdempotencyKey: idempotencyKey,
		IsWrite:        request.isWrite,
		SentAt:         clock.Boot(),
		Outcome:        entry.OutcomeUnknown,
	}
	method, body := http.MethodGet, ""
	if request.isWrite {
		method, body = http.MethodPost, request.body
	}
	url := request.target + "/" + request.mix.Service + "/" + request.key
	call, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		sample.Reason = err.Error()
		return sample, true
	}
	call.Header.Set(entry.HeaderDeadline, g.options.Deadline.String())
	if request.mix.Priority != "" {
		call.Header.Set(entry.HeaderPriority, request.mix.Priority)
	}
	if idempotencyKey != "" {
		call.Header.Set(entry.HeaderIdempotencyKey, idempotencyKey)
	}
	response, err := g.client.Do(call)
	sample.Took = clock.Boot() - sample.SentAt
	if err != nil {
		sample.Reason = reasonConnection
		return sample, !errors.Is(err, syscall.ECONNREFUSED)
	}
	defer response.Body.Close()
	sample.Status = response.StatusCode
	sample.Outcome = response.Header.Get(entry.HeaderOutcome)
	sample.Reason = response.Header.Get(entry.HeaderReason)
	sample.RequestID = response.Header.Get(entry.HeaderRequestID)
	text, err := io.ReadAll(response.Body)
	sample.Took = clock.Boot() - sample.SentAt
	if err != nil {
		sample.Wrong = "answer cut: " + err.Error()
		return sample, true
	}
	if sample.Outcome == entry.OutcomeDone {
		sample.Wrong = compare(text, request.key, method, body)
	}
	return sample, true
}

// compare tells in what way an answer is not the one to the request.
func compare(text []byte, key, method, body string) string {
	var answer server.Answer
	if err := json.Unmarshal(text, &answer); err != nil {
		return "answer is not whole: " + err.Error()
	}
	if answer.Key != key || answer.Method != method || answer.Body != body {
		return fmt.Sprintf("answer is for %s %s %q, wanted %s %s %q", answer.Method, answer.Key, answer.Body, method, key, body)
	}
	return ""
}

func (g *generator) record(sample Sample) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.report.Samples = append(g.report.Samples, sample)
	if sample.Outcome == entry.OutcomeDone {
		// Values above the maximum are left out of the histogram only.
		_ = g.report.Latency.RecordValue(max(1, sample.Took.Microseconds()))
	}
}
