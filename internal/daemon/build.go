package daemon

import (
	"runtime/debug"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"yardwinch/internal/config"
)

const (
	revisionLength  = 12 // characters of the commit that the build is of
	modifiedMark    = "+"
	unknownRevision = "unknown"
)

// buildRevision names the build that runs, by the commit that it was made of.
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

// settingsDigest identifies the settings of a balancer, so that balancers with other ones show. What each has of
// its own is left out.
func settingsDigest(settings config.Values, sharedOptions string) string {
	digest := xxhash.New()
	settings.Each(func(key, value string) {
		if key != "ordinal" && key != "az" {
			_, _ = digest.WriteString(key + "=" + value + "\n") // a hash never fails
		}
	})
	_, _ = digest.WriteString(sharedOptions)
	return strconv.FormatUint(digest.Sum64(), 16)
}
