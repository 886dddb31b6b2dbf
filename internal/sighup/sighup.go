// Package sighup makes `yardwinch serve` ignore SIGHUP from the loading of the executable on, and is imported only for
// this side effect. In a build without cgo it does nothing. Between the start of the process and the installation of
// the daemon's own handler, the signal would otherwise end the process. For the time before the executable is loaded,
// the shell in the deploy file ignores the signal before it starts the daemon. A reload requested before the handler is
// installed is not missed, as the configuration is read afterwards.
package sighup
