package v1

// The versions with a meaning of their own.
const (
	// NoVersion is the version of an object that does not exist.
	NoVersion int64 = -1
	// AnyVersion as the base of a write skips the check of the version.
	AnyVersion int64 = -2
)

// MaxWriteIDLength is the largest length of a write ID, in bytes.
const MaxWriteIDLength = 128

// Write is what every change of the configuration carries.
type Write struct {
	// BaseVersion is the version of the object that the operator has read:
	// NoVersion when it must not exist, AnyVersion to write over whatever is
	// there. It may come as the If-Match header instead.
	BaseVersion *int64 `json:"base_version,omitempty"`
	// WriteID makes a repeat of a write whose answer was lost harmless. The
	// entry makes one when it is empty.
	WriteID string `json:"write_id,omitempty"`
}

// Base returns the base version, or AnyVersion when there is none.
func (w Write) Base() int64 {
	if w.BaseVersion == nil {
		return AnyVersion
	}
	return *w.BaseVersion
}

// RequireBase fails with a *FieldError unless there is a valid base version.
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

// WriteResult is the reply to a change that was accepted.
type WriteResult struct {
	// Version is the version of the configuration that holds the change; ask
	// GET /v1/versions/{version} where it is in force.
	Version int64 `json:"version"`
	// WriteID identifies the write.
	WriteID string `json:"write_id"`
}
