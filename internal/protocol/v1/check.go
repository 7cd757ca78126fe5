package v1

import (
	"fmt"
	"regexp"

	"github.com/google/uuid"

	"github.com/samphirerail/samphirerail/internal/state"
)

// MaxNameLength is the largest length of a name, in bytes.
const MaxNameLength = 64

const nameRule = "1 to 64 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// checkName accepts names of teams, queues, services, domains, keys and VMs.
func checkName(field, value string) error {
	if namePattern.MatchString(value) {
		return nil
	}
	return &FieldError{Field: field, Problem: "is not a valid name", Remedy: "use " + nameRule}
}

func checkRange(field string, value, low, high int64) error {
	if value >= low && value <= high {
		return nil
	}
	return &FieldError{
		Field:   field,
		Problem: fmt.Sprintf("is %d, outside %d to %d", value, low, high),
		Remedy:  "send a value inside the range",
	}
}

func checkClass(field string, class state.Class) error {
	if class.Valid() {
		return nil
	}
	return &FieldError{Field: field, Problem: "is not a class", Remedy: "use request, batch, gang or standing"}
}

// CheckVMID accepts the ID of a VM. It fails with a *FieldError.
func CheckVMID(id state.VMID) error { return checkName("vm", string(id)) }

// CheckTeam accepts the name of a team. It fails with a *FieldError.
func CheckTeam(team state.TeamID) error { return checkName("team", string(team)) }

// CheckQueueID accepts the name of a queue. It fails with a *FieldError.
func CheckQueueID(id state.QueueID) error { return checkName("queue", string(id)) }

// CheckKeyID accepts the ID of a key. It fails with a *FieldError.
func CheckKeyID(id string) error { return checkName("key", id) }

// first returns the first error, so that a message is checked in the order of
// its fields.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// NewWriteID returns a fresh ID for an operator's write.
func NewWriteID() string { return uuid.NewString() }
