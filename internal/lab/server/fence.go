package server

import "github.com/micahaven/micahaven/internal/wire"

func fenceOf(effect *Effect) *wire.Fence {
	return &wire.Fence{Generation: effect.Generation, Counter: effect.Counter}
}
