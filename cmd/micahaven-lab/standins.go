package main

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/lab/cluster"
	"github.com/micahaven/micahaven/internal/lab/platform"
	"github.com/micahaven/micahaven/internal/lab/server"
)

func newPlatformCommand() *ffcli.Command {
	set := flag.NewFlagSet("micahaven-lab platform", flag.ContinueOnError)
	listen := set.String("listen", "127.0.0.1:0", "address, host:port")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "micahaven-lab platform [flags]",
		ShortHelp:  "Run a simulated key-value service and machine list.",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *listen, platform.New().Register)
		},
	}
}

func newServerCommand() *ffcli.Command {
	set := flag.NewFlagSet("micahaven-lab server", flag.ContinueOnError)
	listen := set.String("listen", "127.0.0.1:0", "address, host:port")
	var options server.Options
	set.StringVar(&options.ID, "id", "server", "name of the server")
	set.IntVar(&options.Slots, "slots", 2, "number of requests that run concurrently")
	set.DurationVar(&options.Work, "work", time.Millisecond, "duration of a request")
	set.DurationVar(&options.ColdStart, "cold-start", 0, "additional duration of the first request")
	set.IntVar(&options.ColdRequests, "cold-requests", 0, "number of requests until the server is warm")
	set.BoolVar(&options.Ungoverned, "ungoverned", false, "answer clients directly, without grants, to compare latencies")
	return &ffcli.Command{
		Name:       "server",
		ShortUsage: "micahaven-lab server [flags]",
		ShortHelp:  "Run a simulated server that owns keys.",
		FlagSet:    set,
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *listen, server.New(options).Register)
		},
	}
}

const shutdownTimeout = 5 * time.Second

// serve runs an HTTP server until the context ends, and prints its address.
func serve(ctx context.Context, address string, register func(*echo.Echo)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	register(router)
	if err := (cluster.Ready{HTTP: listener.Addr().String()}).Print(); err != nil {
		return err
	}
	router.Server.Handler = router
	go func() {
		<-ctx.Done()
		stopping, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		// The process exits next even if some requests are still running.
		_ = router.Server.Shutdown(stopping)
	}()
	if err := router.Server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
