// Package compatibility holds tests only. They keep what others see of the programs as it is while names and
// packages change: the simulator's wire byte for byte, files and messages that an earlier build wrote, the
// operators' calls, and the names of commands, flags and keys. The commands are built once and are looked at from
// outside; what only Go can reach goes through reach_test.go, so that a renaming touches that file and the table
// of commands in main_test.go and nothing else.
package compatibility
