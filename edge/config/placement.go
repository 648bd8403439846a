package config

// Placement switches parts of the placement of requests on. All are off by default.
type Placement struct {
	BurstAdmission bool `ini:"burst_admission" default:"no" help:"queue short prompts at this host while all replicas are full, and refuse those that can no longer meet their objective"`
	FairShares     bool `ini:"fair_shares" default:"no" help:"divide replica time between client accounts while requests compete for it"`
	LearnedSpeeds  bool `ini:"learned_speeds" default:"no" help:"learn the speed of each replica and zone from results, and exchange it with other hosts"`
	ZoneDelays     bool `ini:"zone_delays" default:"no" help:"prefer near replicas by the delays between zones in the operators' configuration"`
	CostPrediction bool `ini:"cost_prediction" default:"no" help:"predict what each request costs from earlier ones"`
	ReplicaMemory  bool `ini:"replica_memory" default:"no" help:"limit the bytes and the tokens of the requests that all hosts have at one replica"`
}
