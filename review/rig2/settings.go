package main

const ms = 1_000_000 // in nanoseconds, the unit of the settings

// class is one service type of the settings.
type class struct {
	name        string
	effect      string
	group       string
	setupTarget int // milliseconds
	deadline    int // milliseconds
	window      int // milliseconds
}

// cardiff is the service type of cardiff-live.toml.
var cardiff = []class{{"live-config", "free", "all", 300, 1800, 5000}}

// prairie are the service types of other/prairie-booking.toml.
var prairie = []class{
	{"site-watch", "free", "all", 800, 3200, 5000},
	{"hold-update", "free", "all", 800, 4800, 5000},
}

// brno are the service types of brno-main.toml.
var brno = []class{
	{"paid-lookup", "free", "all", 800, 4800, 5000},
	{"free-lookup", "free", "all", 800, 4800, 5000},
	{"segment-save", "free", "all", 300, 1200, 5000},
}

// bilbao are two service types of bilbao-main.toml.
var bilbao = []class{
	{"estado-facturas", "free", "all", 800, 3200, 5000},
	{"saldo-cliente", "free", "all", 500, 2000, 5000},
}

// settings returns the settings of a small deployment, in the form of the wire page.
func settings(classes []class, changes map[string]any) map[string]any {
	var types []any
	for _, c := range classes {
		types = append(types, map[string]any{
			"name": c.name, "effect": c.effect, "group": c.group, "stream": true, "value": 1.0, "late-value": 0.0,
			"setup-target": c.setupTarget * ms, "hard-limit": c.deadline * ms, "window": c.window * ms,
		})
	}
	s := map[string]any{
		"areas": []any{"a"}, "az": "a", "discovery": "push", "family": "conn", "peers-total": 3, "ordinal": 0,
		"service-types": types,
		"weights":       "nominal",
		"family-info": map[string]any{
			"groups": true, "mode": "proxy", "tells-load": true, "tells-delay": true, "message-aim": []any{250 * ms}, "park": 0,
		},
		"guarantees": map[string]any{
			"answer-slack": 8 * ms, "cold-from": 0.16, "drain-grace": 750 * ms, "fall": 1500 * ms, "fall-multiple": 3.0,
			"must-ask-in": 10_000 * ms, "warm-after": 23_000 * ms,
		},
		"policy-limits": map[string]any{
			"cancel": true, "connect-timeout": 250 * ms, "max-connects": 4, "max-open": 1_000_000, "max-retry-after": 1000 * ms,
			"peers": false, "probes": false, "retry-after": true, "second-copies": false,
		},
		"reporting": map[string]any{"how": "silent", "columns": []any{}},
		"tariffs":   map[string]any{"cross-zone": 0.02, "moves": 0.03},
	}
	for key, value := range changes {
		s[key] = value
	}
	return s
}
