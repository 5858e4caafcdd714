package direct

import (
	"encoding/json"
	"net/http"

	"github.com/eelgrassdrift/eelgrassdrift/isolator"
)

// handler serves what is held, and its release by operators.
func (k *holdKeeper) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/holds", k.list)
	m.HandleFunc("DELETE /v1/holds/{digest}", k.release)
	return m
}

func (k *holdKeeper) list(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(k.Isolator.Holds()); err != nil {
		k.Log.Debug().Err(err).Msg("holds-not-sent")
	}
}

func (k *holdKeeper) release(w http.ResponseWriter, q *http.Request) {
	var d isolator.Digest
	if err := d.UnmarshalText([]byte(q.PathValue("digest"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !k.Isolator.Release(d) {
		http.Error(w, "nothing with this digest is held", http.StatusNotFound)
		return
	}
	k.Log.Warn().Stringer("digest", d).Msg("released-by-operator")
}
