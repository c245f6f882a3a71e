"""Roll-outs: moving a service to another version of its software."""
