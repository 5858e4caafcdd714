//go:build review

package harness

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Pieces and PieceBytes are those of the sheet.
const (
	Pieces     = 96
	PieceBytes = 24576
	// pieceTime is the time of a piece over the origin's link of 7.3 Mbit/s.
	pieceTime = 27 * time.Millisecond
)

// Piece returns the bytes of a piece.
func Piece(version int64, n int) []byte {
	return bytes.Repeat([]byte{byte(version), byte(n), 7, 9}, PieceBytes/4)
}

// Origin serves the weights, one piece after the other over its link.
type Origin struct {
	link chan struct{}
}

// NewOrigin returns an origin.
func NewOrigin() *Origin { return &Origin{link: make(chan struct{}, 1)} }

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	version, _ := strconv.ParseInt(q.FormValue("version"), 10, 64)
	model := q.URL.Path[strings.LastIndexByte(q.URL.Path, '/')+1:]
	if strings.HasPrefix(q.URL.Path, "/eelgrassdrift/manifest/") {
		var d []string
		for n := range Pieces {
			h := sha256.Sum256(Piece(version, n))
			d = append(d, hex.EncodeToString(h[:]))
		}
		_ = json.NewEncoder(w).Encode(map[string]any{
			"model": model, "version": version, "chunkBytes": PieceBytes, "layers": 16, "digests": d,
		})
		return
	}
	n, _ := strconv.Atoi(q.FormValue("quantity"))
	o.link <- struct{}{}
	time.Sleep(pieceTime)
	<-o.link
	_, _ = w.Write(Piece(version, n))
}
