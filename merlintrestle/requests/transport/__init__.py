"""HTTP connections, bodies and answers on the data path."""
