"""Admission rights: which work may start on which backend server."""
