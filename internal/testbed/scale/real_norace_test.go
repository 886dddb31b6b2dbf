//go:build !race

package scale

// raceFactor is how many times the memory of a plain build a process with the race detector in it may take.
const raceFactor = 1
