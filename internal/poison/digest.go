package poison

import (
	"crypto/sha256"
	"encoding/binary"
)

// maxDigestedBytes is how many bytes at the start of a body enter the digest.
const maxDigestedBytes = 64 << 10

// Request is a request as the client sent it. Two attempts that differ in ClientAddress alone are
// the same request: a client that retries may come from any address.
type Request struct {
	Service, Method, Host, URI string
	// Tenant is empty if the request belongs to none, and Key if it has none.
	Tenant, Key   string
	Body          []byte
	ClientAddress string
}

// digests are the digests under which the evidence against a request is kept. Crashes count for
// both, and an answer clears both: what crashes the servers of one service, or under one key, may be
// answered by another service or under another key. But a request must not begin anew with each
// service of a split route, or with each key.
type digests struct {
	// service is the request's digest at its service and under its key, and all that at any
	// service and under any key.
	service, all Digest
}

func digestsOf(request Request) digests {
	atService := DigestOf(request)
	request.Service, request.Key = "", ""
	return digests{service: atService, all: DigestOf(request)}
}

// DigestOf returns the digest of a request. It covers the length of the body, but of a long
// body only the first maxDigestedBytes.
func DigestOf(request Request) Digest {
	sum := sha256.New()
	var length [8]byte
	add := func(text []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		// Writing to a hash never fails.
		_, _ = sum.Write(length[:])
		_, _ = sum.Write(text[:min(len(text), maxDigestedBytes)])
	}
	for _, field := range []string{request.Service, request.Method, request.Host, request.URI, request.Tenant, request.Key} {
		add([]byte(field))
	}
	add(request.Body)
	return Digest(sum.Sum(nil)[:len(Digest{})])
}
