//go:build cgo

package sighup

/*
#include <signal.h>
#include <string.h>

// Runs before the Go runtime starts. The runtime keeps an ignored signal ignored until signal.Notify is called for it.
__attribute__((constructor, used)) static void ignore_sighup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "serve") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
*/
import "C"
