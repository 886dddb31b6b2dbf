//go:build !race

package scale

// raceFactor is the memory use of a process relative to a build without the race detector.
const raceFactor = 1
