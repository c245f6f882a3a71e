"""Reasons of the refusals of requests with API keys."""

# Values of the label `reason` of a metric.
UNKNOWN_KEY = "unknown key"
STALE = "stale"
OVER_QUOTA = "over quota"
NO_QUOTA_KNOWN = "no quota known"
ALL = (UNKNOWN_KEY, STALE, OVER_QUOTA, NO_QUOTA_KNOWN)
