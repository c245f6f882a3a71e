"""Membership of the fleet and discovery of upstreams."""
