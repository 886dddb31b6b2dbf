// Package decide implements the decision logic of the balancer: placement, admission, health, slow start and the
// re-evaluation of established flows. It performs no I/O, reads no clock and starts no goroutines.
//
// New creates a Balancer. The caller passes it the settings, by the Configure and Add methods, then the first endpoint
// list, and from then on every event: SetTime first, then the method for the event. A Balancer acts only through
// Actions. It is deterministic: the same sequence of calls results in the same actions.
package decide
