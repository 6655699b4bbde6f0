package routing

import (
	"net/url"
	"strings"
)

// Path returns the path by which a request target is matched with routes: its decoded path, in which an
// encoded slash stays encoded, because it is part of a segment and divides none (RFC 3986, section 2.2).
func Path(target *url.URL) string {
	if target.RawPath == "" {
		// The default encoding of the path is the one that was sent, which has no encoded slash.
		return target.Path
	}
	kept := strings.NewReplacer("%2F", "%252F", "%2f", "%252F").Replace(target.RawPath)
	path, err := url.PathUnescape(kept)
	if err != nil {
		return target.Path
	}
	return path
}
