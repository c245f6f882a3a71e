"""Tests of the budgets that inbound connections share."""
