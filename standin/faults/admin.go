package faults

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/samphirerail/samphirerail/standin/devplatform"
	"github.com/samphirerail/samphirerail/standin/internal/wire"
)

// AdminPath is the path where fault switches are read (GET) and replaced (PUT).
const AdminPath = "/faults"

// Register serves the fault switches of a stand-in on mux at AdminPath. S is the type of
// the switches. A PUT with an unknown field, or with a value that set rejects with
// devplatform.ErrInvalid, gets status 400 and changes nothing, provided that set changes
// nothing when it fails.
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
