package direct

import (
	"net/http"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
)

// Guards against clients that read headers without end: net/http stops at 10 MiB, and an agent
// with 152 MB calls several servers at the same time.
func TestClientsLimitHeaders(t *testing.T) {
	for name, c := range map[string]*http.Client{"platform": newClient(), "origin": newOriginClient(), "peers": distributor.NewClient(nil)} {
		if n := c.Transport.(*http.Transport).MaxResponseHeaderBytes; n != header.MaxResponseBytes {
			t.Errorf("%s: headers may have %d bytes, want %d", name, n, header.MaxResponseBytes)
		}
	}
}
