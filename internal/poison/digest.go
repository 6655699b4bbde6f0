package poison

import (
	"crypto/sha256"
	"encoding/binary"
)

// maxDigested is how much of a body counts, in bytes.
const maxDigested = 64 << 10

// Request is what makes two tries the same request.
type Request struct {
	Service, Method, Host, URI, Caller string
	Body                               []byte
}

// DigestOf returns the digest of a request. Of a long body its beginning and its length
// count.
func DigestOf(request Request) Digest {
	sum := sha256.New()
	var length [8]byte
	add := func(text []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		// Writing to a hash never fails.
		_, _ = sum.Write(length[:])
		_, _ = sum.Write(text[:min(len(text), maxDigested)])
	}
	for _, field := range []string{request.Service, request.Method, request.Host, request.URI, request.Caller} {
		add([]byte(field))
	}
	add(request.Body)
	return Digest(sum.Sum(nil)[:len(Digest{})])
}
