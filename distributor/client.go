package distributor

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
)

// Headers of the requests and replies between peers.
const (
	headerInstance = "Eelgrass-Instance"
	headerDomain   = "Eelgrass-Failure-Domain"
	headerRegion   = "Eelgrass-Region"
	// headerChunk says in a reply without a chunk why there is none.
	headerChunk = "Eelgrass-Chunk"
	// headerSource holds the wait chain of the replying instance, separated by
	// commas: the instance that it asks, the one that this one asks, and so on.
	headerSource = "Eelgrass-Source"
	// headerHolders names instances that got the chunk from the replying one, which is
	// busy, and headerHolderCount is the number of all that did.
	headerHolders     = "Eelgrass-Holders"
	headerHolderCount = "Eelgrass-Holder-Count"
)

// Values of headerChunk.
const (
	chunkFetching = "fetching"
	chunkAbsent   = "absent"
	chunkBusy     = "busy"
)

// NewClient returns a client for peers. A nil TLS configuration means plain
// HTTP. A waiting request occupies a connection, so idle ones are kept for reuse.
func NewClient(c *tls.Config) *http.Client {
	d := net.Dialer{Timeout: time.Second, KeepAlive: 5 * time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext:            d.DialContext,
		TLSClientConfig:        c,
		TLSHandshakeTimeout:    2 * time.Second,
		MaxIdleConnsPerHost:    4,
		IdleConnTimeout:        10 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: header.MaxResponseBytes,
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
	}}
}
