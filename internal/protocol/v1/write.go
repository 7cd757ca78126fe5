package v1

// Versions with a special meaning.
const (
	// NoVersion is the version of an object that does not exist.
	NoVersion int64 = -1
	// AnyVersion as the base version of a write skips the conflict check.
	AnyVersion int64 = -2
)

// MaxWriteIDLength is the maximum length of a write ID, in bytes.
const MaxWriteIDLength = 128

// Write holds the fields that every change of the configuration has in common.
type Write struct {
	// BaseVersion is the version of the object that the change is based on:
	// NoVersion if the object must not exist, AnyVersion to overwrite any version.
	// It may be sent in the If-Match header instead.
	BaseVersion *int64 `json:"base_version,omitempty"`
	// WriteID makes the write idempotent, so that it can be retried after a lost
	// response. The entry generates one if it is empty.
	WriteID string `json:"write_id,omitempty"`
}

// Base returns the base version, or AnyVersion if there is none.
func (w Write) Base() int64 {
	if w.BaseVersion == nil {
		return AnyVersion
	}
	return *w.BaseVersion
}

// RequireBase checks that there is a base version and that the write is valid. It
// fails with a *FieldError.
func (w Write) RequireBase() error {
	if w.BaseVersion == nil {
		return &FieldError{Field: "base_version", Problem: "is missing", Remedy: "send the version that you have read, or -1 for a new object"}
	}
	return w.Validate()
}

// Validate checks the fields that are set. It fails with a *FieldError.
func (w Write) Validate() error {
	if len(w.WriteID) > MaxWriteIDLength {
		return &FieldError{Field: "write_id", Problem: "is longer than 128 bytes", Remedy: "use a UUID"}
	}
	if w.BaseVersion != nil && *w.BaseVersion < AnyVersion {
		return &FieldError{Field: "base_version", Problem: "is below -2", Remedy: "send the version that you have read, or -1 for a new object"}
	}
	return nil
}

// WriteResult is the response to an accepted change.
type WriteResult struct {
	// Version is the configuration version that contains the change. Use
	// GET /v1/versions/{version} to see where it is in force.
	Version int64 `json:"version"`
	// WriteID identifies the write.
	WriteID string `json:"write_id"`
}
