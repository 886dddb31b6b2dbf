//go:build !race

package scale

// raceFactor is the memory of a process relative to a build without the race detector.
const raceFactor = 1
