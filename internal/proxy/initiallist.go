package proxy

import (
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
)

// Where the list that a process starts with comes from, in the log.
const (
	fromPredecessor   = "predecessor"
	fromCache         = "cache"
	fromConfiguration = "configuration"
)

// applyInitialList applies a list that is known before discovery answers, if there is one.
func (p *Proxy) applyInitialList() {
	if list, from := p.initialList(); list != nil {
		p.loop.list.status.setInitial(list.List, from)
		p.loop.applyList(balancer.UpdateCached, discovery.Update{List: list.List, Source: list.Source, HighestVersion: list.HighestVersion})
	}
	p.loop.list.status.checkStale(time.Now())
}

// initialList returns the list to start with, and where it comes from; nil if there is none. The predecessor's
// replaces that of the cache or the configuration, unless it precedes it: to clients the two processes are one
// proxy, which must not go back to an older list.
func (p *Proxy) initialList() (list *discovery.HeldList, from string) {
	own, from := p.ownInitialList()
	if p.predecessor != nil && p.predecessor.List != nil {
		inherited := p.predecessor.List
		if own == nil || !inherited.Precedes(p.config.Discovery, own) {
			p.listClient.InheritList(*inherited)
			return inherited, fromPredecessor
		}
	}
	if own == nil {
		return nil, ""
	}
	if from == fromCache || len(p.config.Discovery.Members) == 0 {
		p.listClient.SetInitialList(own)
	}
	return &discovery.HeldList{Source: p.config.Discovery, List: own}, from
}

// ownInitialList returns the newer one of the lists in the proxy's cache and its configuration, or nil.
func (p *Proxy) ownInitialList() (list *discovery.List, from string) {
	configured := p.config.InitialList
	cached, err := p.config.loadCachedList()
	if err != nil { // the proxy starts without the cache: the registry sends the complete list
		p.config.Logger.Error("cached endpoint list not used", "error", err)
	}
	if cached == nil || configured != nil && configured.Version > cached.Version {
		return configured, fromConfiguration
	}
	return cached, fromCache
}

// loadCachedList returns the list in the cache; nil if there is none.
func (cfg Config) loadCachedList() (*discovery.List, error) {
	if cfg.ListCacheDir == "" {
		return nil, nil
	}
	return discovery.LoadCachedList(cfg.ListCacheDir)
}
