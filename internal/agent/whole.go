package agent

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// readWhole returns the body of an answer of at most maxAnswer bytes, which stays reserved
// until the visit ends. A body that ends where the connection is closed counts as whole unless
// it is a document that isn't: a target that stops within its head or its body closes the
// connection in the same way.
func (v *visit) readWhole(r *http.Response, isDocument bool) ([]byte, error) {
	b, err := v.buffers.Read(r.Body, maxAnswer)
	switch {
	case err != nil:
		return nil, err
	case connector.IsEndedByClose(r) && isDocument && !json.Valid(b):
		return nil, errors.New("the connection was closed before the document was whole")
	}
	return b, nil
}

// isJSON reports whether the answer is a JSON document by its type.
func isJSON(r *http.Response) bool {
	t, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return t == "application/json" || strings.HasSuffix(t, "+json")
}

// giveLength reads a body that ends where the connection is closed and gives it a length,
// so that what is passed on is whole or an error. A completion is a JSON document.
func (v *visit) giveLength(r *http.Response) error {
	if !connector.IsEndedByClose(r) {
		return nil
	}
	b, err := v.readWhole(r, r.StatusCode == http.StatusOK || isJSON(r))
	if err != nil {
		return err
	}
	_ = r.Body.Close()
	r.Body = io.NopCloser(bytes.NewReader(b))
	r.Header.Set("Content-Length", strconv.Itoa(len(b)))
	return nil
}
