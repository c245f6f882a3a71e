"""Configuration distribution for a service mesh, driven by targets."""
