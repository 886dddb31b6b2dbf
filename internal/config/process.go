package config

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// environment names the variables that stand in for keys which the file leaves out.
var environment = map[string]string{
	keyName:      "PROXY_NAME",
	keyListen:    "PROXY_LISTEN",
	keyDiscovery: "PROXY_DISCOVERY",
	keyAdmin:     "PROXY_CONTROL",
}

// Defaults of the resource limits and time limits.
const (
	defaultCores          = 1
	defaultMemory         = 128 // MiB
	defaultDescriptors    = 1024
	defaultConnectTimeout = 250 * time.Millisecond
	defaultClientTimeout  = time.Second

	bytesPerMebibyte = 1 << 20
)

// Load reads the configuration file and returns its values and the raw endpoint list in it. env looks up variables
// of the environment, which stand in for names and addresses that the file leaves out.
func Load(path string, env func(string) string) (Values, []byte, error) {
	if path == "" {
		return Values{}, nil, errors.New("PROXY_CONFIG: is missing")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Values{}, nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	return Parse(path, text, env)
}

// Parse is Load for a text that may not have been written to the file yet; errors name the path.
func Parse(path string, text []byte, env func(string) string) (Values, []byte, error) {
	values, endpoints, err := fromJSONWithout(text, keyEndpoints) // discovery reads the endpoint list
	if err != nil {
		return Values{}, nil, fmt.Errorf("PROXY_CONFIG: %s: %w", path, err)
	}
	for key, variable := range environment {
		if values.String(key, "") == "" {
			values.byPath[key] = env(variable)
		}
	}
	return values, endpoints, nil
}

// Top-level keys whose change needs no restart.
var (
	reloadableKeys = []string{keyDiscovery} // a running balancer takes them up
	startOnlyKeys  = []string{keySeed}      // given anew for each start, so that a change means nothing
)

// ChangedKeys names the keys that differ in a newer configuration and need a restart, sorted.
func (v Values) ChangedKeys(newer Values) (keys []string) {
	all := maps.Clone(v.byPath)
	maps.Copy(all, newer.byPath)
	for key := range all {
		top, _, _ := strings.Cut(key, ".")
		if slices.Contains(reloadableKeys, top) || slices.Contains(startOnlyKeys, top) {
			continue
		}
		if v.byPath[key] != newer.byPath[key] {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// DecisionSettings are the settings that the decisions use.
func (v Values) DecisionSettings() Values { return v.Sub(keySettings) }

// Addr is an address with a port that must be present.
func (v Values) Addr(path string) string {
	text := v.required(path)
	if _, err := netip.ParseAddrPort(text); text != "" && err != nil {
		v.fail(path, "no address with a port: %q", text)
	}
	return text
}

// AdminAddress is the address of the operators' HTTP calls; empty where there are none.
func AdminAddress(values Values) string {
	if values.String(keyAdmin, "") == "" {
		return ""
	}
	return values.Addr(keyAdmin)
}

// Seed is the seed of the random generators.
func Seed(values Values) uint64 {
	text := values.String(keySeed, "0")
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		values.fail(keySeed, "no hexadecimal number of 64 bits: %q", text)
	}
	return seed
}

// ResourceLimits are the cores, the bytes of memory and the file descriptors that the balancer may use.
func ResourceLimits(values Values) (cores int, memory int64, descriptors int) {
	limits := values.Sub(keyLimits)
	cores = int(math.Ceil(limits.positive(keyCores, defaultCores)))
	memory = int64(limits.positive(keyMemory, defaultMemory) * bytesPerMebibyte)
	descriptors = int(limits.positive(keyDescriptors, defaultDescriptors))
	return cores, memory, descriptors
}

// ConnectTimeout is how long the set-up of a connection to a server may take.
func ConnectTimeout(settings Values) time.Duration {
	return time.Duration(settings.positive(keyConnectTimeout, float64(defaultConnectTimeout)))
}

// MaxClientTimeout is the longest that a client of any service type waits for an answer.
func MaxClientTimeout(settings Values) (longest time.Duration) {
	if settings.itemCount(keyServiceTypes) == 0 {
		settings.fail(keyServiceTypes, "is missing or empty")
	}
	for _, service := range settings.items(keyServiceTypes) {
		timeout := time.Duration(service.positive(keyClientTimeout, float64(defaultClientTimeout)))
		longest = max(longest, timeout)
	}
	return longest
}
