"""Roll-outs, which move a service to another version of its software."""
