// Package sighup ignores SIGHUP from the moment in which the daemon is loaded; it is imported for that alone. It
// closes most of the time between the start of the process and the daemon's own handler, in which the signal would
// end the process. The rest is closed by the deploy file, whose shell ignores the signal before it starts the
// daemon. A reload that is requested in that time is not missed: the configuration is read after the handler is
// installed.
package sighup
