// Package routerlog writes structured logs to standard output without blocking the code that
// logs. Lines that do not fit in the queue because the reader is slow, and informational lines
// above a rate, are dropped and counted.
package routerlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	queueSize = 1024
	// infoPerSecond bounds the rate of informational lines; warnings and errors are bounded
	// only by the queue.
	infoPerSecond      = 400
	dropReportInterval = time.Second
)

// Output queues log lines for a writer.
type Output struct {
	lines   chan []byte
	dropped atomic.Int64
	writer  io.Writer
}

// New returns a logger and its output. Lines are written only while the output's Run is running.
func New(writer io.Writer, level zapcore.Level) (*zap.Logger, *Output) {
	output := &Output{lines: make(chan []byte, queueSize), writer: writer}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), output, level)
	limited := &limitedCore{Core: core, limiter: rate.NewLimiter(infoPerSecond, infoPerSecond), output: output}
	return zap.New(limited), output
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (o *Output) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case o.lines <- copied:
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (o *Output) Sync() error { return nil }

// Run writes queued lines until the context ends, and then those left in the queue.
func (o *Output) Run(ctx context.Context, logger *zap.Logger) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-o.lines:
			// If this fails, standard output is closed and there is no other place to report it.
			_, _ = o.writer.Write(line)
		case <-ticker.C:
			if dropped := o.dropped.Swap(0); dropped > 0 {
				logger.Warn("log lines dropped", zap.Int64("lines", dropped))
			}
		case <-ctx.Done():
			o.flush()
			return nil
		}
	}
}

func (o *Output) flush() {
	for {
		select {
		case line := <-o.lines:
			_, _ = o.writer.Write(line)
		default:
			return
		}
	}
}

// limitedCore limits the rate of informational lines.
type limitedCore struct {
	zapcore.Core
	limiter *rate.Limiter
	output  *Output
}

// With implements zapcore.Core.
func (c *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &limitedCore{Core: c.Core.With(fields), limiter: c.limiter, output: c.output}
}

// Write implements zapcore.Core. Errors are written without their stack traces,
// which are many times longer than the line.
func (c *limitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	short := make([]zapcore.Field, 0, len(fields))
	for _, field := range fields {
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			field = zap.String(field.Key, err.Error())
		}
		short = append(short, field)
	}
	return c.Core.Write(entry, short)
}

// Check implements zapcore.Core.
func (c *limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	if entry.Level <= zapcore.InfoLevel && !c.limiter.Allow() {
		c.output.dropped.Add(1)
		return checked
	}
	return checked.AddCore(entry, c)
}
