"""Clients of the log service and VM list behind the earlier interface."""
