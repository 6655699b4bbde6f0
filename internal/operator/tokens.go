package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Tokens knows the operators by the tokens they send.
type Tokens struct {
	byDigest       map[[sha256.Size]byte]string
	allowAnonymous bool
}

// anonymousName is the author of changes that carry no token.
const anonymousName = "anonymous"

// LoadTokens reads a file with one "name:token" a line. An empty path means
// that there are no tokens.
func LoadTokens(path string, allowAnonymous bool) (*Tokens, error) {
	tokens := &Tokens{byDigest: make(map[[sha256.Size]byte]string), allowAnonymous: allowAnonymous}
	if path == "" {
		return tokens, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read operators' tokens")
	}
	for number, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		name, token, found := strings.Cut(line, ":")
		if !found || name == "" || token == "" {
			return nil, errors.Newf("token file %s, line %d: allowed: name:token", path, number+1)
		}
		tokens.byDigest[sha256.Sum256([]byte(token))] = name
	}
	return tokens, nil
}

// Author returns the operator that a token belongs to, and false if the change
// must be refused. Digests are compared so that timing tells nothing.
func (t *Tokens) Author(token string) (string, bool) {
	if token == "" {
		return anonymousName, t.allowAnonymous
	}
	sent := sha256.Sum256([]byte(token))
	for digest, name := range t.byDigest {
		if subtle.ConstantTimeCompare(sent[:], digest[:]) == 1 {
			return name, true
		}
	}
	return "", false
}
