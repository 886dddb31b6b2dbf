// Package sighup has the daemon ignore SIGHUP from the moment in which it is loaded. Imported for that alone, it closes most of the time between
// the start of the process and the daemon's own handler, in which the signal would end it; the rest is the deploy file's, whose shell ignores
// the signal before it starts the daemon. What such a signal asks for is not missed: the configuration is read after the handler stands.
package sighup
