package coordination

import "errors"

// ErrNotSent is returned if a call to a peer never left this process. The peer has not
// received it, so the call can safely be repeated elsewhere.
var ErrNotSent = errors.New("coordination: the peer could not be reached and has not seen the call; try another owner")
