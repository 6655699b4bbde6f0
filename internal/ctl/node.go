package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/micahaven/micahaven/internal/machines"
	"github.com/micahaven/micahaven/internal/node"
	"github.com/micahaven/micahaven/internal/settings"
	"github.com/micahaven/micahaven/internal/store/etcdjson"
)

func newNodeCommand(errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven node", errorOutput)
	file := set.String("settings", "", "settings file, in YAML")
	name := set.String("node", "", "name of this node, over the file's")
	zone := set.String("zone", "", "zone of this node, over the file's")
	level := set.String("log-level", "", "debug, info, warn or error, over the file's")
	return &ffcli.Command{
		Name:       "node",
		ShortUsage: "micahaven node --settings FILE [flags]",
		ShortHelp:  "Run the daemon.",
		LongHelp:   "Example:\n  micahaven node --settings /etc/micahaven.yaml --zone zone-a",
		FlagSet:    set,
		Exec: func(context.Context, []string) error {
			config, err := loadSettings(*file, *name, *zone, *level)
			if err != nil {
				return err
			}
			return runNode(config)
		},
	}
}

// loadSettings reads the file and puts the flags over it.
func loadSettings(file, name, zone, level string) (*settings.Settings, error) {
	if file == "" {
		return nil, usageError("flag --settings: missing, allowed: the path of a settings file")
	}
	config, err := settings.Load(file)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	if name != "" {
		config.Node = identityOf(name)
	}
	if zone != "" {
		config.Zone = zone
	}
	if level != "" {
		config.LogLevel = level
	}
	if err := config.Validate(); err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return config, nil
}

// ready is the line printed to standard output once the node takes requests.
type ready struct {
	Callers   string `json:"callers"`
	Nodes     string `json:"nodes"`
	Operators string `json:"operators"`
}

func runNode(config *settings.Settings) error {
	logger, err := newLogger(config.LogLevel)
	if err != nil {
		return err
	}
	listeners, err := node.Listen(config.Listen)
	if err != nil {
		return err
	}
	httpClient := &http.Client{}
	platform := node.Platform{
		Store:    etcdjson.New(config.Platform.KeyValue, httpClient, config.Platform.CallsPerSecond),
		Machines: &machines.HTTPSource{URL: config.Platform.Machines, Client: httpClient},
	}
	daemon, err := node.New(config, listeners, platform, logger)
	if err != nil {
		return err
	}
	defer daemon.Close()
	addresses := daemon.Addresses()
	line := ready{Callers: addresses.Callers, Nodes: addresses.Nodes, Operators: addresses.Operators}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		return errors.Wrap(err, "print addresses")
	}
	logger.Info("node started", zap.String("node", string(config.Node)), zap.String("zone", config.Zone),
		zap.String("callers", addresses.Callers), zap.String("operators", addresses.Operators))
	var actors run.Group
	daemon.AddActors(&actors)
	addSignalActor(&actors, daemon, logger)
	return actors.Run()
}

// addSignalActor ends the node on a signal, after it has handed its groups over.
func addSignalActor(actors *run.Group, daemon *node.Node, logger *zap.Logger) {
	signals := make(chan os.Signal, 1)
	stop := make(chan struct{})
	actors.Add(func() error {
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		defer signal.Stop(signals)
		select {
		case received := <-signals:
			logger.Info("stopping", zap.Stringer("signal", received))
			daemon.Drain()
		case <-stop:
		}
		return nil
	}, func(error) { close(stop) })
}

func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.Sampling = nil
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	return config.Build()
}
