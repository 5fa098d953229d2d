"""Tests of the package, with the stand-ins they run against."""
