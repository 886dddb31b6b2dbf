package config

// Keys at the top of a configuration.
const (
	keyName      = "name"
	keyListen    = "listen"
	keyDiscovery = "discovery" // address of the discovery service
	keyAdmin     = "control"   // address of the operators' HTTP calls
	keySeed      = "seed"      // of the random generator
	keyEndpoints = "known"     // the endpoint list as the platform last knew it
	keySettings  = "settings"  // of the decisions
	keyLimits    = "limits"    // of resources

	keyCores       = "cores"
	keyMemory      = "memory_mb"
	keyDescriptors = "sockets"
)

// Keys of the settings of the decisions.
const (
	keyZone                 = "az"
	keyBalancers            = "peers-total" // in the fleet, this one too
	keyDiscoveryMode        = "discovery"
	keyWeights              = "weights" // whether the endpoint list states sizes of servers
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
	keyNinesWeight          = "goal.nines-part"
	keyFullNines            = "goal.top-nines"

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

	countSuffix = ".count" // of the path of a list
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
