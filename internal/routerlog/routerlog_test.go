package routerlog_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/micahaven/micahaven/internal/routerlog"
)

// logged returns the output of some log calls.
func logged(write func(logger *zap.Logger)) string {
	var into bytes.Buffer
	logger, output := routerlog.New(&into, zapcore.InfoLevel)
	write(logger)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = output.Run(canceled, logger)
	return into.String()
}

func TestErrorsAreLoggedWithoutStackTraces(t *testing.T) {
	text := logged(func(logger *zap.Logger) {
		logger.Warn("store lost", zap.Error(errors.Wrap(errors.New("connection refused"), "list")))
	})
	if !strings.Contains(text, `"error":"list: connection refused"`) {
		t.Errorf("the error is missing: %s", text)
	}
	if strings.Contains(text, "stack trace") || strings.Contains(text, "errorVerbose") {
		t.Errorf("the line has a stack trace: %s", text)
	}
}

// A burst of informational lines must not displace warnings.
func TestInformationalLinesAreBounded(t *testing.T) {
	const many = 5000
	text := logged(func(logger *zap.Logger) {
		for range many {
			logger.Info("request answered")
		}
		logger.Warn("request failed")
	})
	if lines := strings.Count(text, "\n"); lines > many/5 {
		t.Errorf("%d lines were written", lines)
	}
	if !strings.Contains(text, "request failed") {
		t.Error("the failure was dropped")
	}
}
