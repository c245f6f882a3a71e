"""Reports on calls: statistics, latencies, traffic and decision logs."""
