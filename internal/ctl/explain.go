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
	causes := set.Int("causes", 0, "how many causes of failed requests to list, the most frequent first")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "micahaven explain (--request ID | --key N | --causes N) [LOG ...]",
		ShortHelp:  "Tell what happened to a request or a key, or why requests failed, from the nodes' logs.",
		LongHelp:   "Reads the log files of any number of nodes, or standard input.",
		FlagSet:    set,
		Exec: func(_ context.Context, files []string) error {
			if *causes < 0 {
				return usageError("field causes: %d, allowed: 1 and more", *causes)
			}
			if asked(*request != "", *key >= 0, *causes > 0) != 1 {
				return usageError("give one of --request, --key and --causes")
			}
			if *key > shards.LastKey {
				return usageError("field key: %d, allowed: 0 to %d", *key, shards.LastKey)
			}
			log, err := readLogs(files)
			if err != nil {
				return err
			}
			return tell(output, errorOutput, log, question{*request, *key, *causes})
		},
	}
}

// asked counts what is true.
func asked(given ...bool) int {
	count := 0
	for _, one := range given {
		if one {
			count++
		}
	}
	return count
}

// question is what is asked of the logs: one of its fields is given.
type question struct {
	request string
	key     int
	causes  int
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

func tell(output, errorOutput io.Writer, log *explain.Log, asked question) error {
	var found bool
	var err error
	switch {
	case asked.request != "":
		found, err = log.Request(output, asked.request)
	case asked.causes > 0:
		found, err = log.WriteCauses(output, asked.causes)
	default:
		found, err = log.Key(output, uint32(asked.key))
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
