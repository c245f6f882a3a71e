"""Target documents: reading, checking and compiling into snapshots."""
