package membership

import "cmp"

// Output is what the caller must do after a step. If sending, fetching, polling
// or proposing fails, a later Output requests it again.
type Output struct {
	Heartbeats  []Member // send a heartbeat to each
	FetchEpoch  string   // fetch the epoch from this host
	FetchConfig string   // fetch the configuration from this host
	Poll        bool     // read head and epoch from the platform
	Propose     bool     // update fleet/epoch with the result of Propose

	ViewChanged               bool // the view of members, lease or activation changed
	LeaseLapsed               bool // the lease expired; may be set together with LeaseRegained
	LeaseRegained             bool
	BecameSilent, BecameAlive []string // hosts of members that became silent, or alive again
	NewlySettled              bool     // the generation was activated
}

func (o *Output) merge(other Output) {
	o.Heartbeats = append(o.Heartbeats, other.Heartbeats...)
	o.FetchEpoch = cmp.Or(o.FetchEpoch, other.FetchEpoch)
	o.FetchConfig = cmp.Or(o.FetchConfig, other.FetchConfig)
	o.Poll = o.Poll || other.Poll
	o.Propose = o.Propose || other.Propose
	o.ViewChanged = o.ViewChanged || other.ViewChanged
	o.LeaseLapsed = o.LeaseLapsed || other.LeaseLapsed
	o.LeaseRegained = o.LeaseRegained || other.LeaseRegained
	o.BecameSilent = append(o.BecameSilent, other.BecameSilent...)
	o.BecameAlive = append(o.BecameAlive, other.BecameAlive...)
	o.NewlySettled = o.NewlySettled || other.NewlySettled
}
