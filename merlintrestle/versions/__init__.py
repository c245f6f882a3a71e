"""Spreading configuration versions, never back and never in part."""
