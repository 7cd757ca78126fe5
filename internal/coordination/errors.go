package coordination

import "errors"

// ErrNotSent says that a call to a peer never left this process: the peer has
// not seen it, and it may be repeated elsewhere without risk.
var ErrNotSent = errors.New("coordination: the peer could not be reached and has not seen the call; try another owner")
