"""Configuration distribution and request routing for a service mesh."""
