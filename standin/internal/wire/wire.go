// Package wire serves the platform protocol over HTTP: requests and replies are JSON, and
// errors are sent as devplatform.ErrorBody.
package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/samphirerail/samphirerail/standin/devplatform"
)

// MaxBodyBytes is the size in bytes at which a request body is truncated.
const MaxBodyBytes = 64 << 20

// Handle returns a handler for one call of the platform protocol. It replies with the
// result of call, or with its error as devplatform.ErrorBody.
func Handle[Request, Reply any](call func(context.Context, Request) (Reply, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Request
		if err := Decode(r, &req); err != nil {
			WriteError(w, err)
			return
		}
		reply, err := call(r.Context(), req)
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, reply)
	}
}

// Decode reads the JSON body of a request. It fails with devplatform.ErrInvalid.
func Decode(r *http.Request, into any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBodyBytes))
	if err != nil {
		return fmt.Errorf("%w: body: %w", devplatform.ErrInvalid, err)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: body: %w", devplatform.ErrInvalid, err)
	}
	return nil
}

// WriteError replies with an error as devplatform.ErrorBody and the matching status.
func WriteError(w http.ResponseWriter, err error) {
	status, body := devplatform.EncodeError(err)
	WriteJSON(w, status, body)
}

// WriteJSON replies with a status and a JSON value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
