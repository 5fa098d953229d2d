"""Tests of routes and services."""
