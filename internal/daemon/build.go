package daemon

import (
	"runtime/debug"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"yardwinch/internal/config"
)

const (
	revisionLength  = 12 // characters of the commit hash
	modifiedMark    = "+"
	unknownRevision = "unknown"
)

// buildRevision returns the commit that this binary was built from.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownRevision
	}
	revision, modified := "", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(len(setting.Value), revisionLength)]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = modifiedMark
		}
	}
	if revision == "" {
		return unknownRevision
	}
	return revision + modified
}

// settingsDigest returns a hash of the settings, by which operators see balancers that run with different ones.
// Settings that differ between the balancers of a fleet by design are left out.
func settingsDigest(settings config.Values, sharedOptions string) string {
	digest := xxhash.New()
	settings.Each(func(key, value string) {
		if key != "ordinal" && key != "az" {
			_, _ = digest.WriteString(key + "=" + value + "\n") // writing to a hash never fails
		}
	})
	_, _ = digest.WriteString(sharedOptions)
	return strconv.FormatUint(digest.Sum64(), 16)
}
