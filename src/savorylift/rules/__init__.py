"""The rules file: parsing, checking, publishing and applying it."""
