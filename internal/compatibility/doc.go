// Package compatibility contains only tests. They check that the external interfaces stay the same while identifiers
// are renamed and packages move: the simulator's wire format byte for byte, files and messages of earlier builds, the
// control calls, and the names of commands, flags and keys. The commands are built once and run as processes. Go code
// of the module that no command exposes is called in reach_test.go only, so that a rename changes that file, the table of
// commands in main_test.go and no other file of this package.
package compatibility
