package scale

import "yardwinch/internal/advice"

// Error is a fault of an experiment file, a report or a run: where it is, what is wrong, and what an operator can do
// about it.
type Error = advice.Error
