package balancer

// Handover of the retry budget between two processes that serve as one proxy while the older one drains.

// ExportRetryBudget returns the usage of the retry budget for a successor process that serves beside this one
// from now on. RetryBudgetMin and the retries earned so far pass to the successor; this process may use only
// what further requests to it earn, so that the two together stay within the budget in every window.
func (b *Balancer) ExportRetryBudget(nowMicros int64) RetryBudgetUsage {
	now := moment(nowMicros)
	b.slowStart.setOtherProcess(true)
	return b.retries.exportUsage(now)
}

// ImportRetryBudget takes over the usage that a predecessor exported. It must be called before the first
// request. The predecessor may continue to send for a while.
func (b *Balancer) ImportRetryBudget(usage RetryBudgetUsage) {
	b.slowStart.setOtherProcess(true)
	b.retries.importUsage(usage)
}

// HandleOtherProcessExit handles the end of the other process. A predecessor that outlives its successor gets
// RetryBudgetMin back once no budget window contains retries that the successor may have sent.
func (b *Balancer) HandleOtherProcessExit(nowMicros int64) {
	now := moment(nowMicros)
	b.slowStart.setOtherProcess(false)
	b.retries.reclaimMinimum(now)
}
