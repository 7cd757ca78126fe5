package v1

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// FieldBody is the field name of a FieldError that concerns the whole message.
const FieldBody = "body"

// unknownFieldPrefix is the start of the text of encoding/json's error for an unknown
// field, which has no type of its own.
const unknownFieldPrefix = "json: unknown field "

// FieldError reports an invalid field of a message. Nothing was changed.
type FieldError struct {
	// Field is the JSON name of the field, FieldBody for the whole message, or the
	// name of a header, query parameter or path parameter.
	Field string
	// Problem describes what is wrong, with the allowed range.
	Problem string
	// Remedy describes what to send instead.
	Remedy string
}

// Error returns the field, the problem and the remedy.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Field, e.Problem, e.Remedy)
}

// Decode decodes data, which must hold exactly one JSON object, into message. Unknown
// fields, values of a wrong type, and data after the object are refused with a
// *FieldError.
func Decode(data []byte, message any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(message); err != nil {
		return decodeError(err)
	}
	if !isObject(data) {
		return &FieldError{Field: FieldBody, Problem: "is not a JSON object", Remedy: "send one JSON object"}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{Field: FieldBody, Problem: "has data after the JSON object", Remedy: "send one JSON object only"}
	}
	return nil
}

func isObject(data []byte) bool {
	trimmed := bytes.TrimLeft(data, " \t\r\n")
	return len(trimmed) > 0 && trimmed[0] == '{'
}

func decodeError(err error) *FieldError {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return typeError(wrongType)
	}
	if name, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		return &FieldError{Field: unknownField(name), Problem: "is or has a field that this message does not know", Remedy: "remove it or correct its name"}
	}
	if errors.Is(err, io.EOF) {
		return &FieldError{Field: FieldBody, Problem: "is empty", Remedy: "send one JSON object"}
	}
	return &FieldError{Field: FieldBody, Problem: "is not valid JSON: " + err.Error(), Remedy: "send one well-formed JSON object"}
}

// unknownField returns the name of an unknown field from its quoted form, or
// FieldBody if the name can't be unquoted, is empty, or is longer than MaxNameLength.
func unknownField(quoted string) string {
	name, err := strconv.Unquote(quoted)
	if err != nil || name == "" || len(name) > MaxNameLength {
		return FieldBody
	}
	return name
}

func typeError(err *json.UnmarshalTypeError) *FieldError {
	field := err.Field
	if field == "" {
		field = FieldBody
	}
	return &FieldError{
		Field:   field,
		Problem: fmt.Sprintf("is a JSON %s where %s is expected", err.Value, err.Type),
		Remedy:  "send a value of the documented type",
	}
}
