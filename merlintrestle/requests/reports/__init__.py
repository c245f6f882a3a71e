"""What is told of requests: statistics, latencies, stories."""
