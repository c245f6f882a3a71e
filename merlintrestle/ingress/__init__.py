"""Budgets of the process that its inbound connections share."""
