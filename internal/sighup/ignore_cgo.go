//go:build cgo

package sighup

/*
#include <signal.h>
#include <string.h>

// Runs before the runtime of the language, which keeps what it finds for this signal until it is told otherwise.
__attribute__((constructor, used)) static void ignore_hangup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "serve") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
*/
import "C"
