// Package decide holds the decisions of the balancer: placement, admission, health, slow start and the re-evaluation of
// established flows. It does no input or output, reads no clock and starts no goroutine.
//
// A Balancer is made by New, gets its settings from the Configure and Add methods and its first endpoint list, and is
// then given each event: SetTime first, then the method named for the event. It acts through Actions alone. The order
// of one instance's events is all it knows; the same events give the same actions.
package decide
