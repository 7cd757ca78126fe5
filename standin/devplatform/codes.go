package devplatform

import (
	"errors"
	"fmt"
	"net/http"
)

// knownError ties an error of the ports to its form on the wire.
type knownError struct {
	code   ErrorCode
	err    error
	status int
}

var knownErrors = []knownError{
	{CodeUnavailable, ErrUnavailable, http.StatusServiceUnavailable},
	{CodeOffsetMismatch, ErrOffsetMismatch, http.StatusConflict},
	{CodeForgotten, ErrForgotten, http.StatusGone},
	{CodeTooLarge, ErrTooLarge, http.StatusRequestEntityTooLarge},
	{CodeWrongIncarnation, ErrWrongIncarnation, http.StatusConflict},
	{CodeLeaving, ErrLeaving, http.StatusConflict},
	{CodeInvalid, ErrInvalid, http.StatusBadRequest},
}

// EncodeError returns the HTTP status and body for an error of a port. An
// error that is none of the port's becomes CodeUnavailable.
func EncodeError(err error) (int, ErrorBody) {
	var fenced *FencedError
	if errors.As(err, &fenced) {
		return http.StatusConflict, ErrorBody{Code: CodeFenced, Message: err.Error(), Fenced: fenced}
	}
	for _, known := range knownErrors {
		if errors.Is(err, known.err) {
			return known.status, ErrorBody{Code: known.code, Message: err.Error()}
		}
	}
	return http.StatusServiceUnavailable, ErrorBody{Code: CodeUnavailable, Message: err.Error()}
}

// Err returns the error that the body stands for. A code that is not known
// becomes ErrUnavailable, since nothing is known of the call's effect.
func (b ErrorBody) Err() error {
	if b.Code == CodeFenced && b.Fenced != nil {
		return b.Fenced
	}
	for _, known := range knownErrors {
		if b.Code == known.code {
			return fmt.Errorf("%w (%s)", known.err, b.Message)
		}
	}
	return fmt.Errorf("%w (code %q: %s)", ErrUnavailable, b.Code, b.Message)
}
