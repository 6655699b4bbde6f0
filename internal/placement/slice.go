package placement

import "github.com/cespare/xxhash/v2"

// SliceOf returns the slice that a key belongs to. Every node must compute the
// same one, so neither the hash nor its reduction may ever change.
func SliceOf(key string, sliceCount uint32) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(sliceCount))
}
