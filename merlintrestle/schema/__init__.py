"""Messages and settings: protobuf schema and the code made from it."""
