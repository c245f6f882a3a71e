"""Connections, bodies and answers: how calls travel."""
