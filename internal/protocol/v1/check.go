package v1

import (
	"fmt"
	"regexp"

	"github.com/google/uuid"

	"github.com/samphirerail/samphirerail/internal/state"
)

// MaxNameLength is the maximum length of a name, in bytes.
const MaxNameLength = 64

const nameRule = "1 to 64 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// checkName checks the name of a team, queue, service, domain, key or VM. It fails
// with a *FieldError.
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

// CheckVMID checks the ID of a VM. It fails with a *FieldError.
func CheckVMID(id state.VMID) error { return checkName("vm", string(id)) }

// CheckDomainID checks the name of a failure domain. It fails with a *FieldError.
func CheckDomainID(id state.DomainID) error { return checkName("domain", string(id)) }

// CheckTeam checks the name of a team. It fails with a *FieldError.
func CheckTeam(team state.TeamID) error { return checkName("team", string(team)) }

// CheckQueueID checks the name of a queue. It fails with a *FieldError.
func CheckQueueID(id state.QueueID) error { return checkName("queue", string(id)) }

// CheckKeyID checks the ID of a key. It fails with a *FieldError.
func CheckKeyID(id string) error { return checkName("key", id) }

// firstError returns the first error that is not nil. Validate methods pass the checks
// in the order of the fields.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// NewWriteID returns a new ID for an operator's write.
func NewWriteID() string { return uuid.NewString() }
