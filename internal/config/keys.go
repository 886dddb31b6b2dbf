package config

// Top-level keys of a configuration, and the keys in keyLimits.
const (
	keyName      = "name"
	keyListen    = "listen"
	keyDiscovery = "discovery" // address of the discovery service
	keyAdmin     = "control"   // address of the admin API
	keySeed      = "seed"      // of the random generators
	keyEndpoints = "known"     // the cached endpoint list, as the platform last knew it
	keySettings  = "settings"  // the decision settings
	keyLimits    = "limits"    // the resource limits

	keyCores       = "cores"
	keyMemory      = "memory_mb"
	keyDescriptors = "sockets"
)

// Keys of the decision settings.
const (
	keyZone                 = "az"
	keyBalancers            = "peers-total" // number of balancers in the fleet, including this one
	keyDiscoveryMode        = "discovery"
	keyWeights              = "weights" // whether the endpoint list states server sizes
	keyBeyondQuotaValue     = "beyond-share-value"
	keyConnectTimeout       = "policy-limits.connect-timeout"
	keyMaxConnects          = "policy-limits.max-connects"
	keyRetryAfterAllowed    = "policy-limits.retry-after"
	keyMaxRetryAfter        = "policy-limits.max-retry-after"
	keyHealthChecks         = "policy-limits.probes"
	keyInitialCapacity      = "guarantees.cold-from"
	keyOverloadMultiple     = "guarantees.fall-multiple"
	keyOverloadWindow       = "guarantees.fall"
	keyWarmUp               = "guarantees.warm-after"
	keyMaxPollInterval      = "guarantees.must-ask-in"
	keyCrossZoneCost        = "tariffs.cross-zone"
	keyMigrationCost        = "tariffs.moves"
	keyHandshakeCost        = "tariffs.handshake"
	keyConnectionQuotas     = "family-info.tenant-quota-connections"
	keyMessageTargets       = "family-info.message-aim"
	keyServersReportLoad    = "family-info.tells-load"
	keyServersReportLatency = "family-info.tells-delay"
	keyReportingMode        = "reporting.how"
	keyReportColumns        = "reporting.columns"
	keyNinesWeight          = "goal.nines-part" // weight of availability, counted in nines, in the platform's valuation
	keyFullNines            = "goal.top-nines"  // the top number of nines in that valuation

	keyCustomers    = "tenants" // a list of objects
	keyCustomerName = "name"

	keyServiceTypes       = "service-types" // a list of objects
	keyServiceName        = "name"
	keyEffect             = "effect"
	keyDeduplicationScope = "group"
	keySetupTarget        = "setup-target"
	keyClientTimeout      = "hard-limit"
	keyRetryWindow        = "window"
	keyPriorityWeight     = "value"

	countSuffix = ".count" // appended to the path of a list for its length
)

// Tables and keys of the operators' options file.
const (
	tableLocality         = "halls"
	keySpilloverThreshold = "spill"
	keySurge              = "surge"
	keyFailbackRate       = "home-per-minute"
	keyLocalityRetryAfter = "again"
	tableTiers            = "from"
	keyTiersZone          = "hall"
	keyTiers              = "tiers"

	tableExplain     = "explain"
	keyExplainSocket = "socket"

	tableSignals = "signals"
	tableLeases  = "duties"
	keyEnabled   = "on"

	tablePeers    = "peers"
	keyPeerName   = "name"
	keyPeerLabel  = "label"
	keyBind       = "bind"
	keyAdvertise  = "advertise"
	keyEnginePath = "program"
	keySeeds      = "seeds"
)
