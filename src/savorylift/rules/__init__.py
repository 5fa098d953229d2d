"""Configuration: the rules file, its versions and what is in force."""
