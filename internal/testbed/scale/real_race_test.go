//go:build race

package scale

// raceFactor is the memory use of a process with the race detector, relative to a build without it.
const raceFactor = 3
