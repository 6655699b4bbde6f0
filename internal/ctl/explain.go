package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/micahaven/micahaven/internal/explain"
	"github.com/micahaven/micahaven/internal/shards"
)

func newExplainCommand(output, errorOutput io.Writer) *ffcli.Command {
	set := newFlagSet("micahaven explain", errorOutput)
	request := set.String("request", "", "id of a request")
	key := set.Int("key", -1, "key whose owners are asked for")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "micahaven explain (--request ID | --key N) [LOG ...]",
		ShortHelp:  "Tell what happened to a request or a key, from the nodes' logs.",
		LongHelp:   "Reads the log files of any number of nodes, or standard input.",
		FlagSet:    set,
		Exec: func(_ context.Context, files []string) error {
			if (*request == "") == (*key < 0) {
				return usageError("give either --request or --key")
			}
			if *key > shards.LastKey {
				return usageError("field key: %d, allowed: 0 to %d", *key, shards.LastKey)
			}
			log, err := readLogs(files)
			if err != nil {
				return err
			}
			return tell(output, errorOutput, log, *request, *key)
		},
	}
}

func readLogs(files []string) (*explain.Log, error) {
	log := &explain.Log{}
	if len(files) == 0 {
		return log, log.Read(os.Stdin)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "open log"), errUsage)
		}
		err = log.Read(file)
		file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "log %s", name)
		}
	}
	return log, nil
}

func tell(output, errorOutput io.Writer, log *explain.Log, request string, key int) error {
	var found bool
	var err error
	if request != "" {
		found, err = log.Request(output, request)
	} else {
		found, err = log.Key(output, uint32(key))
	}
	if err != nil {
		return err
	}
	if log.Skipped > 0 {
		fmt.Fprintf(errorOutput, "micahaven: %d lines are no log lines and were passed over\n", log.Skipped)
	}
	if !found {
		return errors.New("no line is about that; are the logs of all nodes there?")
	}
	return nil
}
