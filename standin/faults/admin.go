package faults

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/internal/wire"
)

// AdminPath is where a stand-in's switches are read (GET) and replaced (PUT).
const AdminPath = "/faults"

// Register serves a stand-in's switches on mux. A PUT with an unknown field or
// a value that set rejects is answered 400 and changes nothing.
func Register[S any](mux *http.ServeMux, get func() S, set func(S) error) {
	mux.HandleFunc("GET "+AdminPath, func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteJSON(w, http.StatusOK, get())
	})
	mux.HandleFunc("PUT "+AdminPath, func(w http.ResponseWriter, r *http.Request) {
		var switches S
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&switches); err != nil {
			wire.WriteError(w, fmt.Errorf("%w: %w", devplatform.ErrInvalid, err))
			return
		}
		if err := set(switches); err != nil {
			wire.WriteError(w, err)
			return
		}
		wire.WriteJSON(w, http.StatusOK, get())
	})
}
