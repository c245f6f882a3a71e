"""Records of the configuration and the client of the native store (gRPC)."""
