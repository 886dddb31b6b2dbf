package config

import (
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

// Load reads the file that a balancer is told all by. The names that the environment gives stand where the file is
// silent.
func Load(path string, env func(string) string) (Values, []byte, error) {
	if path == "" {
		return Values{}, nil, fmt.Errorf("PROXY_CONFIG: is missing")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Values{}, nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	return Parse(path, text, env)
}

// Parse is Open for a text that may not be a file yet.
func Parse(path string, text []byte, env func(string) string) (Values, []byte, error) {
	g, known, err := jsonWithout(text, "known") // the list is discovery's to read
	if err != nil {
		return Values{}, nil, fmt.Errorf("PROXY_CONFIG: %s: %w", path, err)
	}
	for key, name := range map[string]string{
		"name": "PROXY_NAME", "listen": "PROXY_LISTEN", "discovery": "PROXY_DISCOVERY",
		"control": "PROXY_CONTROL"} {
		if g.String(key, "") == "" {
			g.at[key] = env(name)
		}
	}
	return g, known, nil
}

// live are the keys that a running balancer takes anew. One that counts at a start alone is told anew at each, so
// that a change says nothing: the start of chance.
var live, startOnly = []string{"discovery"}, []string{"seed"}

// ChangedKeys names what differs in a newer reading and needs a restart.
func (g Values) ChangedKeys(newer Values) (keys []string) {
	all := maps.Clone(g.at)
	maps.Copy(all, newer.at)
	for key := range all {
		top, _, _ := strings.Cut(key, ".")
		if g.at[key] != newer.at[key] && !slices.Contains(live, top) && !slices.Contains(startOnly, top) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// DecisionSettings are the terms on which the module decides.
func (g Values) DecisionSettings() Values { return g.Sub("settings") }

// Addr is an address that must be there.
func (g Values) Addr(path string) string {
	s := g.need(path)
	if _, err := netip.ParseAddrPort(s); s != "" && err != nil {
		g.bad(path, "no address with a port: %q", s)
	}
	return s
}

// AdminAddress is the address of the staff's calls; empty: there is none.
func AdminAddress(g Values) string {
	if g.String("control", "") == "" {
		return ""
	}
	return g.Addr("control")
}

// Seed is the start of the generator of chance.
func Seed(g Values) uint64 {
	s := g.String("seed", "0")
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		g.bad("seed", "no hexadecimal number of 64 bits: %q", s)
	}
	return v
}

func (g Values) positive(path string, absent float64) float64 {
	v := g.Float(path, absent)
	if !(v > 0) {
		g.bad(path, "must be above 0")
		return absent
	}
	return v
}

// ResourceLimits are the cores, the bytes of memory and the file descriptors that the balancer may use.
func ResourceLimits(g Values) (cores int, memory int64, descriptors int) {
	l := g.Sub("limits")
	return int(math.Ceil(l.positive("cores", 1))), int64(l.positive("memory_mb", 128) * (1 << 20)),
		int(l.positive("sockets", 1024))
}

// ConnectTimeout is how long a server's connection may take to come up.
func ConnectTimeout(g Values) time.Duration {
	return time.Duration(g.positive("policy-limits.connect-timeout", float64(250*time.Millisecond)))
}

// MaxClientTimeout is the longest that any client waits for an answer.
func MaxClientTimeout(g Values) (longest time.Duration) {
	n := int(g.Float("service-types.count", 0))
	if n == 0 {
		g.bad("service-types", "is missing or empty")
	}
	for i := range n {
		p := "service-types." + strconv.Itoa(i) + ".hard-limit"
		longest = max(longest, time.Duration(g.positive(p, float64(time.Second))))
	}
	return longest
}
