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

// environment maps keys to the environment variables that are used if the file lacks the key.
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

// Load reads the configuration file and returns its values and the raw endpoint list in it. env looks up environment
// variables, which are used for names and addresses that the file lacks.
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

// Parse is Load for a text that need not have been written to the file yet; errors name the path.
func Parse(path string, text []byte, env func(string) string) (Values, []byte, error) {
	values, endpoints, err := fromJSONWithout(text, keyEndpoints) // the discovery client parses the endpoint list
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
	reloadableKeys = []string{keyDiscovery} // a running balancer applies the new value
	startOnlyKeys  = []string{keySeed}      // different at each start, so a change is not significant
)

// ChangedKeys returns the keys that differ in a newer configuration and require a restart, sorted.
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

// DecisionSettings returns the settings of the decisions.
func (v Values) DecisionSettings() Values { return v.Sub(keySettings) }

// Addr returns a required value, which must be an IP address with a port.
func (v Values) Addr(path string) string {
	text := v.required(path)
	if _, err := netip.ParseAddrPort(text); text != "" && err != nil {
		v.fail(path, "want an address with a port, got %q", text)
	}
	return text
}

// AdminAddress returns the address of the admin API; empty if it is off.
func AdminAddress(values Values) string {
	if values.String(keyAdmin, "") == "" {
		return ""
	}
	return values.Addr(keyAdmin)
}

// Seed returns the seed of the random generators.
func Seed(values Values) uint64 {
	text := values.String(keySeed, "0")
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		values.fail(keySeed, "want a 64-bit hexadecimal number, got %q", text)
	}
	return seed
}

// ResourceLimits returns the number of cores, the memory in bytes and the number of file descriptors that the balancer
// may use.
func ResourceLimits(values Values) (cores int, memory int64, descriptors int) {
	limits := values.Sub(keyLimits)
	cores = int(math.Ceil(limits.positive(keyCores, defaultCores)))
	memory = int64(limits.positive(keyMemory, defaultMemory) * bytesPerMebibyte)
	descriptors = int(limits.positive(keyDescriptors, defaultDescriptors))
	return cores, memory, descriptors
}

// ConnectTimeout returns the timeout of a connect to a server.
func ConnectTimeout(settings Values) time.Duration {
	return time.Duration(settings.positive(keyConnectTimeout, float64(defaultConnectTimeout)))
}

// MaxClientTimeout returns the longest time that a client of any service type waits for an answer.
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
