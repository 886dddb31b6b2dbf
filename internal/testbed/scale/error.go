package scale

import "yardwinch/internal/advice"

// Error is an error in an experiment file, a report or a run: where it is, what is wrong, and how an operator can
// correct it.
type Error = advice.Error
