package poison

import (
	"strconv"
	"testing"
	"time"
)

// Guards against three more crashes for each key under which the same content is sent.
func TestCrashesUnderSeveralKeysAddUp(t *testing.T) {
	nodes, _ := newGuards("n1", "n2")
	underKey := func(key int) Request {
		sent := request(1)
		sent.Key = strconv.Itoa(key)
		return sent
	}
	for key := range refuseThreshold {
		nodes["n1"].Lost("s"+strconv.Itoa(key), underKey(key), BeforeResponse)
		time.Sleep(crashGroupingTime + 50*time.Millisecond)
	}
	for name, node := range nodes {
		if _, refused := node.Refused(func() Request { return underKey(9) }); !refused {
			t.Errorf("%s sends a request that crashed three servers under other keys", name)
		}
	}
}
