package authenticator

import (
	"strings"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// maxKeyBytes is the maximum length of a bearer key.
const maxKeyBytes = 512

// KeyDigest returns the digest of the bearer key in an Authorization header and
// reports whether the header carries one of 1 to maxKeyBytes bytes.
func KeyDigest(header string) (recorder.Digest, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKeyBytes {
		return recorder.Digest{}, false
	}
	return recorder.DigestOf([]byte(key)), true
}
