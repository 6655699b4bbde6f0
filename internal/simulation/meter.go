package simulation

import (
	"encoding/json"

	"google.golang.org/protobuf/proto"

	"github.com/micahaven/micahaven/internal/holder"
	"github.com/micahaven/micahaven/internal/wire"
)

func (w *world) countReplica(message *wire.ReplicaMessage) {
	if w.options.Meter == nil {
		return
	}
	w.options.Meter.ReplicaMessages++
	w.options.Meter.ReplicaBytes += proto.Size(message)
}

func (w *world) countSession(message *holder.Message, reply *holder.Reply) {
	if w.options.Meter == nil {
		return
	}
	w.options.Meter.SessionMessages++
	w.options.Meter.SessionBytes += jsonSize(message) + jsonSize(reply)
}

// jsonSize returns the size of a value as servers receive it.
func jsonSize(value any) int {
	text, err := json.Marshal(value)
	if err != nil {
		return 0
	}
	return len(text)
}
